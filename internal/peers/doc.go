// Package peers tracks the membership of the fleet and carries the calls between hosts.
// Hosts discover each other through records in the store and exchange heartbeats. The
// membership table is only a routing hint: decisions that need agreement are made with
// conditional appends to the store, never with this package.
package peers
