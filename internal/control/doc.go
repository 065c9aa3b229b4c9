// Package control carries calls between hosts over net/rpc with deadlines
// and typed outcomes.
package control
