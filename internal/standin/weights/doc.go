// Package weights is a stand-in for the platform's weight store, whose downloads
// share a limited bandwidth.
package weights
