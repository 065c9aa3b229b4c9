package program

import (
	"fmt"
	"net/http"
	"sort"
	"time"

	"cowslipgw/internal/structs"
)

// claim is the stored state of an idempotency key.
type claim struct {
	Digest [32]byte       `cbor:"1,keyasint"`
	Call   structs.CallID `cbor:"2,keyasint"`
	Origin structs.Origin `cbor:"3,keyasint"`
	// Outcome is 0 while the request runs. With OutcomeNotRun the key is free; the
	// entry only prevents a delayed duplicate open of the same call from claiming the
	// key again.
	Outcome structs.Outcome `cbor:"4,keyasint,omitempty"`
	// Answer is nil if the outcome is unknown or the answer was dropped.
	Answer *StoredAnswer `cbor:"5,keyasint,omitempty"`
	// At is the time at which the claim was opened or, once closed, was closed.
	At int64 `cbor:"6,keyasint"`
}

// openOp opens a claim.
type openOp struct {
	Claim  ClaimKey       `cbor:"1,keyasint"`
	Digest [32]byte       `cbor:"2,keyasint"`
	Call   structs.CallID `cbor:"3,keyasint"`
	Origin structs.Origin `cbor:"4,keyasint"`
	At     int64          `cbor:"5,keyasint"`
}

// closeOp closes a claim. Dropped lists claims whose answers are dropped to make room
// for this one.
type closeOp struct {
	Claim   ClaimKey        `cbor:"1,keyasint"`
	Call    structs.CallID  `cbor:"2,keyasint"`
	Outcome structs.Outcome `cbor:"3,keyasint"`
	Answer  *StoredAnswer   `cbor:"4,keyasint,omitempty"`
	Dropped []ClaimKey      `cbor:"5,keyasint,omitempty"`
	At      int64           `cbor:"6,keyasint"`
}

// DecideOpen claims an idempotency key. The operation must be replicated before the
// request is sent.
func (s *State) DecideOpen(req OpenRequest, inView InView, clock structs.OwnerClock) (OpenResult, []byte, error) {
	if !inView(req.Origin) {
		return OpenResult{Problem: notInView(req.Origin)}, nil, nil
	}
	found := s.claims[req.Claim]
	if found.closedNotRun() && found.Call == req.Call {
		return OpenResult{Problem: claimClosedProblem(req.Call)}, nil, nil
	}
	if found != nil && !found.closedNotRun() {
		result := found.openResult(req, inView)
		if result.State != ClaimUnknown || found.Outcome != 0 {
			return result, nil, nil
		}
		// The caller is told that the outcome is unknown, and that must remain true: if
		// the evicted host later reported that the request was not run, a retry could
		// run it.
		op, err := Op{Close: &closeOp{
			Claim: req.Claim, Call: found.Call, Outcome: structs.OutcomeUnknown, At: clock.Now.UnixNano(),
		}}.encode()
		return result, op, err
	}
	if left := time.Duration(s.dataLossUntil - clock.Now.UnixNano()); left > 0 {
		return OpenResult{State: ClaimUnknown}, nil, nil
	}
	if len(s.claims) >= s.limits.MaxClaims {
		return OpenResult{Problem: &structs.Problem{
			Code: "claims-full", Status: http.StatusServiceUnavailable, Run: structs.RunNo,
			Detail:     fmt.Sprintf("%d idempotency keys are kept, which is the limit", len(s.claims)),
			RetryAfter: time.Minute,
		}}, nil, nil
	}
	op, err := Op{Open: &openOp{
		Claim: req.Claim, Digest: req.Digest, Call: req.Call, Origin: req.Origin, At: clock.Now.UnixNano(),
	}}.encode()
	return OpenResult{State: ClaimOpened}, op, err
}

// closedNotRun reports whether the claim was closed because its request was not run.
func (c *claim) closedNotRun() bool {
	return c != nil && c.Outcome == structs.OutcomeNotRun
}

// claimClosedProblem rejects an open that arrived after the close of the same call.
func claimClosedProblem(call structs.CallID) *structs.Problem {
	return &structs.Problem{
		Code: "claim-closed", Status: http.StatusServiceUnavailable, Run: structs.RunNo,
		Detail: fmt.Sprintf("the claim of call %s was closed as not run", call), RetryAfter: time.Second,
	}
}

// openResult answers a request for a key that is already claimed. A request by the
// claim's own call is a retry by the same host, which did not learn that it had opened
// the claim.
func (c *claim) openResult(req OpenRequest, inView InView) OpenResult {
	switch {
	case c.Digest != req.Digest:
		return OpenResult{State: ClaimMismatch}
	case c.Outcome == 0 && c.Call == req.Call && c.Origin == req.Origin:
		return OpenResult{State: ClaimOpened}
	case c.Outcome == 0 && inView(c.Origin):
		return OpenResult{State: ClaimRunning}
	case c.Outcome != structs.OutcomeAnswered:
		return OpenResult{State: ClaimUnknown}
	case c.Answer == nil:
		return OpenResult{State: ClaimFinished, Problem: &structs.Problem{
			Code: "answer-dropped", Status: http.StatusConflict, Run: structs.RunYes,
			Detail: "the request was run; its answer is no longer kept",
		}}
	}
	return OpenResult{State: ClaimFinished, Answer: c.Answer}
}

// DecideClose ends a claim. It returns nil for a claim that is already closed, and
// ErrCallEnded if another call holds the claim or the claim has expired.
func (s *State) DecideClose(req CloseRequest, clock structs.OwnerClock) ([]byte, error) {
	found := s.claims[req.Claim]
	op := &closeOp{Claim: req.Claim, Call: req.Call, Outcome: req.Outcome, At: clock.Now.UnixNano()}
	if found == nil && req.Outcome == structs.OutcomeNotRun {
		return Op{Close: op}.encode()
	}
	if found == nil || found.Call != req.Call {
		return nil, fmt.Errorf("close claim of %s: %w", req.Call, ErrCallEnded)
	}
	if found.closedNotRun() || found.Outcome == structs.OutcomeAnswered || found.Outcome == structs.OutcomeUnknown && req.Outcome == structs.OutcomeNotRun {
		return nil, nil
	}
	if req.Outcome == structs.OutcomeAnswered && req.Answer.size() <= s.limits.MaxAnswerBytes {
		op.Answer = req.Answer
		op.Dropped = s.answersToDrop(req.Answer.size())
	}
	return Op{Close: op}.encode()
}

// answersToDrop returns the claims with the oldest answers that must be dropped to make
// room for size bytes.
func (s *State) answersToDrop(size int) []ClaimKey {
	excess := s.answerBytes + size - s.limits.MaxAnswerBytes
	if excess <= 0 {
		return nil
	}
	var dropped []ClaimKey
	for _, key := range s.claimKeys(func(c *claim) bool { return c.Answer != nil }) {
		if excess <= 0 {
			break
		}
		excess -= s.claims[key].Answer.size()
		dropped = append(dropped, key)
	}
	return dropped
}

// claimKeys returns the keys of the matching claims, oldest first.
func (s *State) claimKeys(match func(*claim) bool) []ClaimKey {
	var keys []ClaimKey
	for key, c := range s.claims {
		if match(c) {
			keys = append(keys, key)
		}
	}
	sort.Slice(keys, func(i, j int) bool {
		a, b := s.claims[keys[i]], s.claims[keys[j]]
		if a.At != b.At {
			return a.At < b.At
		}
		return keys[i].less(keys[j])
	})
	return keys
}

// less reports whether k sorts before other.
func (k ClaimKey) less(other ClaimKey) bool {
	if k.Account != other.Account {
		return k.Account < other.Account
	}
	return k.Key < other.Key
}

// size returns the approximate number of bytes that a stored answer occupies.
func (a *StoredAnswer) size() int {
	if a == nil {
		return 0
	}
	total := len(a.Body)
	for name, values := range a.Header {
		total += len(name)
		for _, value := range values {
			total += len(value)
		}
	}
	return total
}

func (s *State) applyOpen(op *openOp) {
	s.claims[op.Claim] = &claim{Digest: op.Digest, Call: op.Call, Origin: op.Origin, At: op.At}
}

// applyClose records the outcome of a claim. A claim that was not run is replaced by an
// entry that only rejects delayed opens.
func (s *State) applyClose(op *closeOp) error {
	found := s.claims[op.Claim]
	if op.Outcome == structs.OutcomeNotRun && (found == nil || found.Call == op.Call) {
		s.dropClaim(op.Claim)
		s.claims[op.Claim] = &claim{Call: op.Call, Outcome: op.Outcome, At: op.At}
		return nil
	}
	if found == nil || found.Call != op.Call {
		return fmt.Errorf("close of the claim of %s: %w", op.Call, ErrMalformedOp)
	}
	for _, key := range op.Dropped {
		if old := s.claims[key]; old != nil {
			s.answerBytes -= old.Answer.size()
			old.Answer = nil
		}
	}
	s.answerBytes += op.Answer.size() - found.Answer.size()
	found.Outcome = op.Outcome
	found.Answer = op.Answer
	found.At = op.At
	return nil
}

func (s *State) dropClaim(key ClaimKey) {
	if c := s.claims[key]; c != nil {
		s.answerBytes -= c.Answer.size()
		delete(s.claims, key)
	}
}
