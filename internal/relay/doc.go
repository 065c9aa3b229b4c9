// Package relay sends requests to replicas over the host's own links, or through another host
// while these are lost. It tells the loss of the host's own links from the end of a replica.
package relay
