// Package sched decides which call runs next and on which replica, as pure
// stages: feasible, rank, select.
package sched
