// Package transport provides the network that hosts and stand-ins use. Code that
// needs a connection takes a Network, so that tests can replace TCP by an
// in-memory network whose links they cut, delay and restore.
package transport
