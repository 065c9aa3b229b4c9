// Package bench measures scheduling policies on a virtual clock. It runs the code
// of package sched before an emulator of model engines, with seeded workloads of
// agent programs. docs/measures.md defines what it reports. It is a bench of the
// policy: hosts, network and log appear only as delays and faults.
package bench
