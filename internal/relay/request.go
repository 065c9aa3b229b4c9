package relay

import (
	"net/http"
	"strconv"
	"time"

	"cowslipgw/internal/forward"
	"cowslipgw/internal/peers"
	"cowslipgw/internal/replica"
)

// Request is a request to one incarnation of a replica.
type Request struct {
	forward.Request
	// ID is the ID of the request, which answers repeat.
	ID string
	// Replica is the record of the replica. Another host uses its own record of it.
	Replica replica.Record
	// Deadline is the time after which the request must not be sent.
	Deadline time.Time
	// Paced is set if a part of the replica's rate is reserved for the request.
	Paced bool
	// MayPassOn reports whether the request may be passed on to another host; nil if all may have it.
	MayPassOn func(h peers.Host) bool
}

// Headers that hosts add to requests and answers which they pass on for each other.
const (
	// headerReplica and headerIncarnation name the replica.
	headerReplica     = "Relay-Replica"
	headerIncarnation = "Relay-Incarnation"
	// headerRequestID has the ID of the request.
	headerRequestID = "Relay-Request-Id"
	// headerRemaining has the time until the deadline in milliseconds.
	headerRemaining = "Relay-Remaining-Ms"
	// headerCheck is set if the replica's link is to be checked and nothing to be sent.
	headerCheck = "Relay-Check"
	// headerPaced is set if a part of the replica's rate is reserved for the request. Hosts of earlier
	// builds neither send nor read it.
	headerPaced = "Relay-Paced"
	// headerOutcome has the Outcome of the attempt, in answers.
	headerOutcome = "Relay-Outcome"
)

// relayHeaders are the headers that concern only the hosts.
var relayHeaders = []string{headerReplica, headerIncarnation, headerRequestID, headerRemaining, headerCheck, headerPaced, headerOutcome}

// RemoveHeaders removes the headers that hosts add for each other.
func RemoveHeaders(h http.Header) {
	for _, name := range relayHeaders {
		h.Del(name)
	}
}

// encode adds to a header what the other host needs.
func (r *Request) encode(h http.Header) {
	h.Set(headerReplica, r.Replica.ID)
	h.Set(headerIncarnation, strconv.FormatInt(r.Replica.Born, 10))
	h.Set(headerRequestID, r.ID)
	h.Set(headerRemaining, strconv.FormatInt(time.Until(r.Deadline).Milliseconds(), 10))
	if r.Paced {
		h.Set(headerPaced, "1")
	}
}

// Received is what a host asks another one to do.
type Received struct {
	// ID is the ID of the request.
	ID string
	// Replica and Incarnation name the replica.
	Replica     string
	Incarnation int64
	// Remaining is the time until the deadline when the request was sent.
	Remaining time.Duration
	// Paced is set if the other host has reserved a part of the replica's rate.
	Paced bool
	// Check is set if only the link to the replica is to be checked.
	Check bool
}

// Decode decodes the headers of a request from another host. It reports false if they are invalid.
func Decode(h http.Header) (Received, bool) {
	r := Received{ID: h.Get(headerRequestID), Replica: h.Get(headerReplica), Check: h.Get(headerCheck) != "", Paced: h.Get(headerPaced) != ""}
	incarnation, err := strconv.ParseInt(h.Get(headerIncarnation), 10, 64)
	if err != nil || r.Replica == "" {
		return Received{}, false
	}
	r.Incarnation = incarnation
	remaining, err := strconv.ParseInt(h.Get(headerRemaining), 10, 64)
	if err != nil && !r.Check {
		return Received{}, false
	}
	r.Remaining = time.Duration(remaining) * time.Millisecond
	return r, true
}
