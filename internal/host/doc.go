// Package host assembles an entry host from its components. An entry host follows
// the log, is a member of the fleet, is the owner or a backup of partitions, and
// serves callers and operators.
package host
