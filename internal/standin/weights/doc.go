// Package weights is a stand-in for the platform's weight store: all downloads
// together get a limited number of bytes a second.
package weights
