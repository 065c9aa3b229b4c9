// Package event defines the numbered log events of the system and writes them
// with logrus. The number of an event never changes, so that operators can filter
// and alert on it. The catalogue for operators is docs/events.md; a test compares
// it with the definitions in this package.
package event
