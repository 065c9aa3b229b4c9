// Package control provides RPCs between hosts over net/rpc, with deadlines and with
// errors that tell whether a call may have taken effect.
package control
