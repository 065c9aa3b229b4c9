package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"cowslipgw/internal/boottime"
	"cowslipgw/internal/event"
	"cowslipgw/internal/forward"
	"cowslipgw/internal/guard"
	"cowslipgw/internal/relay"
	"cowslipgw/internal/replica"
)

// maxRelayedBody is the largest body of a request that is passed on for another host: the history
// of a program and its new input.
const maxRelayedBody = 16 << 20

// RelayHandler returns the handler for requests that other hosts cannot send to replicas
// themselves. They have admitted the request and chosen the replica, so isHost must tell the IP
// addresses of hosts from those of callers.
func (g *Gateway) RelayHandler(isHost func(ip string) bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if ip, _, err := net.SplitHostPort(r.RemoteAddr); err != nil || !isHost(ip) {
			g.events.Log(event.RelayStranger, event.Fields{"addr": r.RemoteAddr})
			replyOutcome(w, relay.Declined)
			return
		}
		g.serveRelay(w, r)
	})
}

// serveRelay passes one request of another host on.
func (g *Gateway) serveRelay(w http.ResponseWriter, r *http.Request) {
	operation := g.progress.begin(relayedRequest, "")
	defer operation.end()
	if g.Draining() {
		w.Header().Set("Connection", "close")
	}
	defer func() {
		if cause := recover(); cause != nil {
			if cause != http.ErrAbortHandler {
				guard.Log(g.events, "request of another host", cause)
			}
			panic(http.ErrAbortHandler)
		}
	}()
	asked := boottime.Now()
	received, ok := relay.Decode(r.Header)
	if !ok {
		replyOutcome(w, relay.Declined)
		return
	}
	operation.identify(received.ID)
	confirmed := g.confirmEvacuations(r.Context())
	record, ok := g.replicas.Usable(received.Replica, received.Incarnation)
	ok = ok && confirmed
	switch {
	case !ok || g.sender.LinkLost(record):
		g.events.Log(event.RelayDeclined, event.Fields{"request": received.ID, "replica": received.Replica})
		replyOutcome(w, relay.Declined)
	case received.Check:
		replyOutcome(w, g.sender.ReachableFor(r.Context(), record))
	default:
		g.relayRequest(w, r, received, record, asked)
	}
}

// relayRequest sends a request of another host to a replica and passes the answer back.
func (g *Gateway) relayRequest(w http.ResponseWriter, r *http.Request, received relay.Received, record replica.Record, asked boottime.Instant) {
	if g.outlasts(time.Now().Add(received.Remaining)) {
		g.declineStopping(w, received)
		return
	}
	memory := reservation{budget: g.memory}
	defer memory.release()
	var body []byte
	err := errNoMemory
	if r.ContentLength <= maxRelayedBody {
		body, err = readBody(http.MaxBytesReader(w, r.Body, maxRelayedBody), r.ContentLength, &memory)
	}
	// A host that was paused meanwhile must not send what is no longer wanted.
	remaining := received.Remaining - boottime.Since(asked)
	if err != nil || remaining < minAttemptTime {
		replyOutcome(w, relay.Declined)
		return
	}
	if g.outlasts(time.Now().Add(remaining)) {
		g.declineStopping(w, received)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), remaining)
	defer cancel()
	defer context.AfterFunc(g.stopped, cancel)()
	if !received.Paced && !g.reserveFor(ctx, received, record) {
		replyOutcome(w, relay.Declined)
		return
	}
	header := EndToEnd(r.Header)
	relay.RemoveHeaders(header)
	request := &relay.Request{ID: received.ID, Replica: record, Deadline: time.Now().Add(remaining),
		Request: forward.Request{Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: header, MaySend: g.maySend(func() error { return g.replicas.CheckSend(record) }),
			Body: [][]byte{body}, HasBody: r.Header.Get("Content-Length") != ""}}
	sent := time.Now()
	answer, outcome := g.sender.SendFor(ctx, request, g.answersTo(received.ID))
	if outcome != relay.Answered {
		replyOutcome(w, outcome)
		return
	}
	defer answer.Close()
	info := g.codec.Answer(answer.Header)
	info.limitReuse(answer)
	g.learnLeaving(record, info, answer.Status)
	g.learnCold(record, info, answer.Status, sent)
	copyAnswer(w, answer)
}

// declineStopping declines a request of another host that may outlast the drain of this one.
func (g *Gateway) declineStopping(w http.ResponseWriter, received relay.Received) {
	g.events.Log(event.RelayDeclinedStopping, event.Fields{"request": received.ID, "remaining_ms": received.Remaining.Milliseconds()})
	replyOutcome(w, relay.Declined)
}

// replyOutcome tells another host that there is no answer of the replica.
func replyOutcome(w http.ResponseWriter, o relay.Outcome) {
	o.Set(w.Header())
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusBadGateway)
}

// copyAnswer passes the answer of a replica to another host as it arrives. If it ends early, the
// connection is aborted.
func copyAnswer(w http.ResponseWriter, answer *forward.Answer) {
	h := w.Header()
	copyEndToEnd(h, answer.Header)
	if length := answer.Header.Get("Content-Length"); length != "" {
		h.Set("Content-Length", length)
	}
	if _, dated := h["Date"]; !dated {
		h["Date"] = nil // prevents net/http from adding it
	}
	relay.Answered.Set(h)
	w.WriteHeader(answer.Status)
	flusher := http.NewResponseController(w)
	buffer := make([]byte, streamBuffer)
	for {
		n, err := answer.Read(buffer)
		if n > 0 {
			if _, writeErr := w.Write(buffer[:n]); writeErr != nil || flusher.Flush() != nil {
				panic(http.ErrAbortHandler)
			}
		}
		switch {
		case err == io.EOF:
			return
		case err != nil:
			panic(http.ErrAbortHandler)
		}
	}
}
