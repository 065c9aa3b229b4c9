// Package hostlist is a stand-in for the platform's host list, which lists the
// live and leaving replicas. Changes become visible after a lag.
package hostlist
