// Package storelog is the interface to the platform's store as the product uses
// it: topics of keyed records in partitions, where an append can be bound to the
// partition's present end. That condition is the only means by which hosts agree.
package storelog
