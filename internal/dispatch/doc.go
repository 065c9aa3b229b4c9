// Package dispatch runs the scheduler of a pool at one host and gives the
// others slots on its replicas.
package dispatch
