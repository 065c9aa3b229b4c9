//go:build race

package main

// raceDetector is set if the test runs with the race detector, which multiplies the memory of a process.
const raceDetector = true
