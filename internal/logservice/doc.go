// Package logservice is the client of the platform's log service: append
// with retry, read, and follow a stream through trims and outages.
package logservice
