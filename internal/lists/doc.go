// Package lists parses and validates the two lists that operators edit, client accounts
// and plans. It applies their versions from the log and publishes the version in force.
package lists
