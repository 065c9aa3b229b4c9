// Package app is a stand-in for a plain HTTP service used as an upstream. It
// counts how often each request was executed, so that tests and benchmarks can
// verify that a non-idempotent request ran at most once.
package app
