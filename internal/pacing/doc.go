// Package pacing keeps all hosts together within the rate of requests that a replica accepts.
// One host at a time, the replica's owner by rendezvous hashing, schedules the requests of all
// hosts; nothing is stored. A host that cannot reach the owner keeps to its share of the rate.
package pacing
