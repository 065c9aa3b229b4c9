// Package program keeps the order, history, budget and idempotency claims of
// agent programs as a deterministic state machine.
package program
