// Package owner runs the operations of programs, idempotency claims and rate
// buckets at the owner of their partition, and finds the owner for the hosts that
// need them. Every operation carries an ID and is applied once, so the router
// repeats it at a new owner until the caller's deadline.
package owner
