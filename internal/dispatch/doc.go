// Package dispatch schedules the calls of a pool. The host that owns the pool runs
// its scheduler and grants all hosts slots on the pool's replicas.
package dispatch
