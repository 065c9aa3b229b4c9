// Package sched decides which call runs next and on which replica. It is a pure
// pipeline over a snapshot of the replicas and a clock value: it does no I/O, starts
// no goroutines and reads no clock, and equal inputs give equal decisions.
//
// The feasible stage selects the replicas that may take another call. The rank stage
// orders the waiting calls: weighted fair queueing between client accounts by token
// cost, then least attained service by program, with ageing. The select stage
// chooses the replica for a call: program affinity with bounded load first, then
// shared prefix, then least load.
package sched
