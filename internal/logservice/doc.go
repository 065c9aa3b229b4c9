// Package logservice is the client of the platform's log service. It appends records
// with retries, reads them, and follows streams across trims and outages.
package logservice
