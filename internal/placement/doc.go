// Package placement plans which replica of a pool holds which model and gives the
// engines their load orders. The host that owns a pool's partition plans the pool.
//
// Plan is a pure function of a Snapshot. Runner takes the snapshots and sends the
// orders. See docs/placement.md.
package placement
