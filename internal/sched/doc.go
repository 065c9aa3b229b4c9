// Package sched decides which call runs next and on which replica, as pure
// stages over a snapshot of the replicas and a clock value. It does no I/O, starts
// no goroutine and reads no clock, and equal input gives equal decisions.
//
// Stage feasible keeps the replicas that may take another call. Stage rank orders
// the waiting calls: weighted fair queueing over client accounts on token cost,
// then least attained service by program with ageing. Stage select chooses the
// replica of a call: affinity by program with bounded load, then by shared prefix,
// then the least load.
package sched
