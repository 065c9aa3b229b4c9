// Package quota keeps each client account within its rate and burst over all hosts.
//
// Every host follows the bucket of each account: it takes off what it admits itself
// and what the heartbeats of the others say that they admitted. While the bucket is
// well filled a host admits at once; when it runs low, a host admits its share of what
// is left, so that the hosts together stay within the bucket although each learns of
// the others a little late.
package quota
