// Package account authenticates callers by their keys and enforces the rate and
// burst of each client account across the whole fleet.
package account
