// Package account looks up keys and keeps each client account within its
// rate and burst over the whole fleet.
package account
