// Package entry serves callers and operators over HTTP. For callers it
// authenticates, takes rate, claims idempotency keys, begins calls at the owner
// of their program, gets a replica, passes the answer on and settles the call.
// Each failure undoes what was done before it and tells the caller truthfully
// whether the request was run.
package entry
