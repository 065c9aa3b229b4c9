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

// engineLog records each chat request that reached an engine.
type engineLog struct {
	mu    sync.Mutex
	calls []*engineCall
	// foreign is how many of the next answers name another call.
	foreign int
}

// engineCall is one chat request at an engine.
type engineCall struct {
	replica        string
	id             string
	program, fence uint64
	// messages are the texts of the request, the new one last.
	messages []string
	from, to time.Time
}

// wrap records the chat requests of one replica.
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
		if l.takeForeign() {
			r.Header.Set("X-Call-Id", "another-"+r.Header.Get("X-Call-Id")) // the engine echoes it
			body = foreignBody(body)
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
	})
}

// wrapAll records the requests for work to one replica of any kind.
func (l *engineLog) wrapAll(replica string, next http.Handler) http.Handler {
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
	c := &engineCall{replica: replica, id: header.Get("X-Call-Id"), from: time.Now()}
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
		c.to = time.Now()
	}
}

// takeForeign says whether the next answer is to be that of another call.
func (l *engineLog) takeForeign() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.foreign == 0 {
		return false
	}
	l.foreign--
	return true
}

// foreignBody returns the request of another call, in the same form of answer.
func foreignBody(body []byte) []byte {
	var request map[string]json.RawMessage
	_ = json.Unmarshal(body, &request)
	request["messages"] = json.RawMessage(`[{"role":"user","content":"another question"}]`)
	changed, _ := json.Marshal(request)
	return changed
}

// all returns the requests in order of arrival.
func (l *engineLog) all() []*engineCall {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.calls)
}

// setForeign makes the next answers name another call.
func (l *engineLog) setForeign(count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.foreign = count
}

// newest returns the new message of a request.
func (c *engineCall) newest() string { return c.messages[len(c.messages)-1] }

// label returns the "account/program" that a load writes in front of each text.
func label(message string) string {
	before, _, _ := strings.Cut(message, "#")
	return strings.TrimPrefix(before, "user: ")
}

// check compares all requests of programs with guarantees 1 and 2: those of a program
// arrive one at a time, and each holds exactly what the program's calls before it
// committed. With overlap, a call may still run at an engine when the next one
// arrives, since its host is cut off and was evicted; the fencing numbers then grow.
func (l *engineLog) check(t *testing.T, overlap bool) {
	t.Helper()
	last := make(map[uint64]*engineCall)
	for _, c := range l.all() {
		if c.program == 0 || len(c.messages) == 0 {
			t.Errorf("request %s without program or messages", c.id)
			continue
		}
		for _, message := range c.messages {
			if strings.HasPrefix(message, "user: ") && label(message) != label(c.newest()) {
				t.Errorf("request of %s holds message %q", label(c.newest()), message)
			}
		}
		previous := last[c.program]
		last[c.program] = c
		if previous == nil {
			if len(c.messages) != 1 {
				t.Errorf("first request of %s has history %q", label(c.newest()), c.messages)
			}
			continue
		}
		if !overlap && (previous.to.IsZero() || c.from.Before(previous.to)) {
			t.Errorf("%q arrived at %v while %q ran until %v", c.newest(), c.from, previous.newest(), previous.to)
		}
		if c.fence < previous.fence {
			t.Errorf("%q has fencing number %d after %d", c.newest(), c.fence, previous.fence)
		}
		if !follows(previous, c) {
			t.Errorf("history %q does not follow on %q", c.messages, previous.messages)
		}
	}
}

// follows says whether a request holds the history that the one before it left: with
// its turn, without it when it was not committed, or the same when it was retried.
func follows(previous, c *engineCall) bool {
	if c.id == previous.id {
		return slices.Equal(c.messages, previous.messages)
	}
	history, before := c.messages[:len(c.messages)-1], previous.messages
	if slices.Equal(history, before[:len(before)-1]) {
		return true
	}
	if len(history) != len(before)+1 || !slices.Equal(history[:len(before)], before) {
		return false
	}
	return history[len(before)] == "assistant: "+answerOf(before)
}

// answerOf returns the stand-in's whole answer to messages; see its answerText.
func answerOf(messages []string) string {
	_, text, _ := strings.Cut(messages[len(messages)-1], ": ")
	return fmt.Sprintf("I see %d messages. The last user message is: %s", len(messages), text)
}
