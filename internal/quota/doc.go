// Package quota keeps each client account within its rate and burst over all hosts.
//
// The owner of an account's bucket, one host by a hash of the account, decides each
// request. Heartbeats tell all hosts what the others admitted, so that the next owner
// knows the bucket when the first is lost. A host that does not reach the owner admits
// its share of the rate.
//
// Only whole programs count for callers. A bucket therefore also knows what the
// programs that were let in will need, and lets another one begin only if there is room
// for all of it.
package quota
