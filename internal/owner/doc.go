// Package owner runs the operations on programs, idempotency claims and rate buckets at
// the owner of their partition, and routes the operations of any host to that owner.
// Every operation carries an ID and is applied at most once, so the router retries it
// at a new owner until the caller's deadline.
package owner
