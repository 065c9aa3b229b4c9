// Package logserver is a stand-in for the platform's log service. It keeps
// streams in memory, limits the append rate and trims records by age and count.
// It can inject the faults of the service: being down, being slow, and losing
// responses after an append has taken effect.
package logserver
