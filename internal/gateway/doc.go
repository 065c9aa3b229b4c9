// Package gateway takes callers' requests from admission to answer: route, key, rate,
// turn, replica, answer. It knows no wire format; a Codec translates.
package gateway
