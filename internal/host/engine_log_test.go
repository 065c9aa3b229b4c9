package host_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"cowslipgw/internal/structs"
)

// engineLog records the requests that reach engines and app services.
type engineLog struct {
	mu    sync.Mutex
	calls []*engineCall
	// foreignAnswers is the number of coming answers that are replaced by the answer to
	// another call.
	foreignAnswers int
}

// engineCall is one request that reached a replica.
type engineCall struct {
	replica        string
	id             string
	program, fence uint64
	// messages are the roles and texts of the request's messages, the new one last.
	messages          []string
	arrived, finished time.Time
}

// wrap returns a handler that records the chat requests to one replica.
func (l *engineLog) wrap(replica string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/chat/completions" {
			next.ServeHTTP(w, r)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		ended := l.add(replica, r.Header, body)
		defer ended()
		if l.takeForeignAnswer() {
			r.Header.Set("X-Call-Id", "another-"+r.Header.Get("X-Call-Id")) // the engine echoes the header
			body = foreignRequest(body)
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
	})
}

// wrapAllWork returns a handler that records the work requests to one replica, whether
// it is an engine or an app service.
func (l *engineLog) wrapAllWork(replica string, next http.Handler) http.Handler {
	chat := l.wrap(replica, next)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/pickups" {
			defer l.add(replica, r.Header, nil)()
		}
		chat.ServeHTTP(w, r)
	})
}

func (l *engineLog) add(replica string, header http.Header, body []byte) (ended func()) {
	var request struct{ Messages []structs.Message }
	_ = json.Unmarshal(body, &request)
	c := &engineCall{replica: replica, id: header.Get("X-Call-Id"), arrived: time.Now()}
	c.program, _ = strconv.ParseUint(header.Get("X-Program"), 10, 64)
	c.fence, _ = strconv.ParseUint(header.Get("X-Fence"), 10, 64)
	for _, message := range request.Messages {
		var text string
		_ = json.Unmarshal(message.Content, &text)
		c.messages = append(c.messages, message.Role+": "+text)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls = append(l.calls, c)
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		c.finished = time.Now()
	}
}

// takeForeignAnswer reports whether the next answer must be replaced by the answer to
// another call.
func (l *engineLog) takeForeignAnswer() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.foreignAnswers == 0 {
		return false
	}
	l.foreignAnswers--
	return true
}

// foreignRequest returns the body of another call that asks for the same form of answer.
func foreignRequest(body []byte) []byte {
	var request map[string]json.RawMessage
	_ = json.Unmarshal(body, &request)
	request["messages"] = json.RawMessage(`[{"role":"user","content":"another question"}]`)
	changed, _ := json.Marshal(request)
	return changed
}

// requests returns the recorded requests in order of arrival.
func (l *engineLog) requests() []*engineCall {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.calls)
}

// setForeignAnswers replaces the next count answers by answers to other calls.
func (l *engineLog) setForeignAnswers(count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.foreignAnswers = count
}

// newMessage returns the last message of a request, which is the one the call adds.
func (c *engineCall) newMessage() string { return c.messages[len(c.messages)-1] }

// programOf returns the "account/program" prefix that a load puts in front of each text.
func programOf(message string) string {
	before, _, _ := strings.Cut(message, "#")
	return strings.TrimPrefix(before, "user: ")
}

// checkOrder checks guarantees 1 and 2 for all requests of programs: the requests of a
// program arrive one at a time, and each contains exactly the history that the program's
// earlier calls committed. If overlap is set, a call may still run at an engine when the
// next one arrives, because its host was partitioned and evicted. Fencing tokens must
// never decrease.
func (l *engineLog) checkOrder(t *testing.T, overlap bool) {
	t.Helper()
	last := make(map[uint64]*engineCall)
	for _, c := range l.requests() {
		if c.program == 0 || len(c.messages) == 0 {
			t.Errorf("request %s without program or messages", c.id)
			continue
		}
		for _, message := range c.messages {
			if strings.HasPrefix(message, "user: ") && programOf(message) != programOf(c.newMessage()) {
				t.Errorf("request of %s holds message %q", programOf(c.newMessage()), message)
			}
		}
		previous := last[c.program]
		last[c.program] = c
		if previous == nil {
			if len(c.messages) != 1 {
				t.Errorf("first request of %s has history %q", programOf(c.newMessage()), c.messages)
			}
			continue
		}
		if !overlap && (previous.finished.IsZero() || c.arrived.Before(previous.finished)) {
			t.Errorf("%q arrived at %v while %q ran until %v", c.newMessage(), c.arrived, previous.newMessage(), previous.finished)
		}
		if c.fence < previous.fence {
			t.Errorf("%q has fencing token %d after %d", c.newMessage(), c.fence, previous.fence)
		}
		if !continuesHistory(previous, c) {
			t.Errorf("history %q does not continue %q", c.messages, previous.messages)
		}
	}
}

// continuesHistory reports whether a request contains the history that the previous
// request left. The history includes the turn of the previous request, lacks it if it was
// not committed, or is the same if c is a retry.
func continuesHistory(previous, c *engineCall) bool {
	if c.id == previous.id {
		return slices.Equal(c.messages, previous.messages)
	}
	history, earlier := c.messages[:len(c.messages)-1], previous.messages
	if slices.Equal(history, earlier[:len(earlier)-1]) {
		return true
	}
	if len(history) != len(earlier)+1 || !slices.Equal(history[:len(earlier)], earlier) {
		return false
	}
	return history[len(earlier)] == "assistant: "+answerOf(earlier)
}

// answerOf returns the complete answer of the stand-in engine to the messages. It mirrors
// the engine's answerText.
func answerOf(messages []string) string {
	_, text, _ := strings.Cut(messages[len(messages)-1], ": ")
	return fmt.Sprintf("I see %d messages. The last user message is: %s", len(messages), text)
}
