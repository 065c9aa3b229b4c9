// Package entry serves callers and operators over HTTP. For a caller's request it
// authenticates the caller, charges the account's rate, claims the idempotency key,
// begins the call at the owner of its program, acquires a replica, forwards the answer
// and settles the call. On each failure it undoes the earlier steps and reports
// truthfully to the caller whether the request was run.
package entry
