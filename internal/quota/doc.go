// Package quota enforces the rate and burst of each client account over all hosts.
//
// One host, the owner of an account's bucket, is chosen by a hash of the account and
// decides each request. It reports what it admitted to the hosts that would own the bucket
// next, so that they have its state if it is lost. A host that cannot reach the owner admits
// its own share of the rate.
//
// A program is useful to its caller only if it runs to its end. A bucket therefore also
// tracks the expected demand of the programs it has admitted, and admits another one only
// if there is capacity for all of it.
package quota
