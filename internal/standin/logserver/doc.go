// Package logserver is a stand-in for the platform's log service. It keeps
// streams in memory, limits appends a second, trims by age and count, and brings
// about the service's faults on request: down, slow, and answers that are lost
// after the append took effect.
package logserver
