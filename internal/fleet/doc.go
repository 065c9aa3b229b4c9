// Package fleet maintains fleet membership. It derives the fleet view from the
// membership stream of the log, detects failed hosts by heartbeats, and tracks
// how current this host's copy of the log is.
package fleet
