// Package program implements the deterministic state machine of a partition: the order,
// history, budget and idempotency claims of agent programs.
package program
