// Package partition assigns partitions to owners and backups, replicates the owner's
// operations to the backups, and transfers partition state when the view changes.
package partition
