// Package placement plans which replica of a pool holds which model, and sends load
// orders to the engines. The host that owns a pool's partition is the planner of the
// pool.
//
// Plan is a pure function of a Snapshot. Runner takes the snapshots and sends the
// orders. The design is described in docs/placement.md.
package placement
