// Package fleettest provides an in-memory log and an in-process fleet of members. It is
// imported by tests only.
package fleettest
