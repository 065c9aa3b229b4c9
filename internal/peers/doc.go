// Package peers tracks the hosts of the system and carries the calls between them.
// Hosts find each other through records in the store and tell each other by
// heartbeats that they live. The table is a hint for routing: what must be agreed
// goes through conditional appends, never through this package.
package peers
