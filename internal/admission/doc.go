// Package admission decides which agent programs may begin on a service whose engines are a
// shared, limited resource. One host at a time, the service's owner by rendezvous hashing, keeps
// the expected demand of the programs that it admitted and compares it with the engines' slots and
// with the requests that all hosts report to have in flight. Nothing is stored: a new owner starts
// from the reports. A host that cannot reach the owner decides within its share of the slots.
package admission
