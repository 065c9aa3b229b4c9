// Package quarantine recognises requests that crash the replicas which run them. Callers send
// such a request again, at any host, so hosts tell each other of each crash. Nothing is stored.
package quarantine
