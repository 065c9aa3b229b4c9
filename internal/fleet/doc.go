// Package fleet folds the membership stream into the view of the fleet,
// detects failed hosts with heartbeats, and knows how fresh the host's
// knowledge is.
package fleet
