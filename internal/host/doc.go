// Package host wires one entry host: it follows the log, takes part in the fleet,
// owns and backs up partitions, and serves callers and operators.
package host
