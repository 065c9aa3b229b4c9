// Package app is a stand-in for a plain service behind the system. It counts how
// often each request really ran, so that tests and the bench can prove that a
// non-idempotent request ran at most once.
package app
