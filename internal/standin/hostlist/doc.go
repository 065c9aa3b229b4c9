// Package hostlist is a stand-in for the platform's host list, which names the
// live and leaving replicas with a lag.
package hostlist
