// Package checkpoint keeps the states of partitions in the log, for the case that all
// copies of a partition are lost. Each owner appends what changed; each host follows
// the stream and remembers only where the newest checkpoint of a partition is.
package checkpoint
