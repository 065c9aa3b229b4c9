// Package transport abstracts the network that hosts and stand-ins use. Code that opens
// connections takes a Network, so that tests can replace TCP by an in-memory network on
// which they inject delays and partitions.
package transport
