// Package gateway handles a caller's request from admission to answer: route, API key, rate
// limit, turn, replica selection, answer. It is independent of the wire format, which a
// Codec implements.
package gateway
