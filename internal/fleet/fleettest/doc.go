// Package fleettest provides a log in memory and a fleet of members in one process
// for the tests of this project. Nothing else imports it.
package fleettest
