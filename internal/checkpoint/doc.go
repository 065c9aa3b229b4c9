// Package checkpoint stores the states of partitions in the log, in case all copies of
// a partition are lost. Each owner appends the states that changed; each host follows
// the stream and keeps only the location of each partition's newest checkpoint.
package checkpoint
