// Package partition assigns partitions to owners and backups, replicates the
// owner's operations, and transfers state when the view changes.
package partition
