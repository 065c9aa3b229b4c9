// Package bench compares scheduling policies in a discrete-event simulation. It runs
// the code of package sched against emulated model engines with seeded, reproducible
// workloads of agent programs. docs/measures.md defines the reported measures. Only
// the policy is under test: hosts, the network and the log are modelled as delays and
// faults.
package bench
