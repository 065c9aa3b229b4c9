// Package storelog is the interface to the platform's store: topics of keyed records,
// divided into partitions that are append-only logs. An append can be made conditional on
// the partition's current end, and this conditional append is the only means by which hosts
// reach agreement.
package storelog
