// Package lists parses, validates, folds and publishes the operators' two
// lists: client accounts and plans.
package lists
