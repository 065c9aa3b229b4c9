package host_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"cowslipgw/internal/owner"
	"cowslipgw/internal/partition"
	"cowslipgw/internal/program"
	"cowslipgw/internal/structs"
)

// programLoad runs programs whose callers rotate over the entry hosts, and records the
// answers.
type programLoad struct {
	s    *site
	stop context.CancelFunc
	done sync.WaitGroup

	mu sync.Mutex
	// answered holds the texts that got a complete answer, by "account/program".
	answered map[string][]string
	// violations describes the answers that violate a guarantee.
	violations []string
}

// turnPause is the time between two turns of a program, as for a tool call.
const turnPause = 150 * time.Millisecond

// addressOf returns the entry address of the i-th host, which may be down.
func addressOf(i int) string { return fmt.Sprintf("10.0.0.%d:80", i+1) }

// startLoad starts the given number of programs in each of two accounts. Both accounts
// use the same program IDs.
func (s *site) startLoad(programs int) *programLoad {
	ctx, stop := context.WithCancel(context.Background())
	l := &programLoad{s: s, stop: stop, answered: make(map[string][]string)}
	for i := range programs {
		for j, account := range []string{"clinic", "workshop"} {
			first := i*2 + j
			s.key(account)
			l.done.Go(func() { l.run(ctx, account, fmt.Sprintf("return-%d", i), first) })
		}
	}
	return l
}

// run sends the turns of one program until ctx is done.
func (l *programLoad) run(ctx context.Context, account, id string, firstHost int) {
	name := account + "/" + id
	for turn := 1; ctx.Err() == nil; turn++ {
		text := fmt.Sprintf("%s#%d", name, turn)
		c := l.s.chat(account, id, text)
		if turn%2 == 0 {
			c = c.streamed()
		}
		l.record(name, text, l.s.callOnce(addressOf((firstHost+turn)%l.s.config.hosts), c))
		time.Sleep(turnPause)
	}
}

// callOnce sends a call to an address once, with callerTimeout.
func (s *site) callOnce(address string, c call) answer {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	return s.sendTo(ctx, address, c)
}

// record checks one answer against guarantee 9 and records it.
func (l *programLoad) record(name, text string, got answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	gotText, ok := got.complete()
	switch {
	case ok && !strings.HasSuffix(gotText, "The last user message is: "+text):
		l.violations = append(l.violations, fmt.Sprintf("%s was answered %q", text, gotText))
	case ok:
		l.answered[name] = append(l.answered[name], text)
	case got.err == nil && got.failure().Run == "":
		l.violations = append(l.violations, fmt.Sprintf("%s was refused without a run member: %d %q", text, got.status, got.body))
	}
}

// end stops the load and checks that the history of each program contains all answered
// turns in order. The last call of each program goes to a different entry host.
func (l *programLoad) end(log *engineLog) {
	l.s.t.Helper()
	l.stop()
	l.done.Wait()
	for _, violation := range l.violations {
		l.s.t.Error(violation)
	}
	for name, answered := range l.answered {
		account, id, _ := strings.Cut(name, "/")
		got := l.s.send(len(answered)%l.s.config.hosts, l.s.chat(account, id, name+"#last"))
		if got.status != 200 {
			l.s.t.Errorf("last call of %s got %d %s", name, got.status, got.body)
			continue
		}
		l.checkHistory(log, name, answered)
	}
}

func (l *programLoad) checkHistory(log *engineLog, name string, answered []string) {
	l.s.t.Helper()
	for _, c := range slices.Backward(log.requests()) {
		if c.newMessage() != "user: "+name+"#last" {
			continue
		}
		var history []string
		for _, message := range c.messages {
			if text, user := strings.CutPrefix(message, "user: "); user && slices.Contains(answered, text) {
				history = append(history, text)
			}
		}
		if !slices.Equal(history, answered) {
			l.s.t.Errorf("history of %s has %q of the answered turns %q", name, history, answered)
		}
		return
	}
	l.s.t.Errorf("the last call of %s did not reach an engine", name)
}

// answeredTurns returns the number of turns that got a complete answer.
func (l *programLoad) answeredTurns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	total := 0
	for _, answered := range l.answered {
		total += len(answered)
	}
	return total
}

// streamed returns the call with a request for a streamed answer.
func (c call) streamed() call {
	c.body = strings.Replace(c.body, `{`, `{"stream":true,`, 1)
	return c
}

// withMinTokens returns the chat call with a minimum number of tokens in its answer.
func (c call) withMinTokens(count int) call {
	c.body = strings.Replace(c.body, `"max_tokens":64`, fmt.Sprintf(`"max_tokens":%d,"min_tokens":%d`, max(count, 64), count), 1)
	return c
}

// problem holds the fields that a caller reads from a refusal or an error event.
type problem struct {
	Run   structs.Run `json:"run"`
	Error struct {
		Code string `json:"code"`
	} `json:"error"`
}

// events returns the data of the events of a streamed answer.
func (a answer) events() []string {
	var events []string
	for line := range strings.Lines(a.body) {
		if data, found := strings.CutPrefix(line, "data: "); found {
			events = append(events, strings.TrimSpace(data))
		}
	}
	return events
}

// failure returns the problem in an answer that is not complete.
func (a answer) failure() problem {
	text := a.body
	if events := a.events(); len(events) > 0 {
		text = events[len(events)-1]
	}
	var p problem
	_ = json.Unmarshal([]byte(text), &p)
	return p
}

// complete returns the text of an answer and reports whether a caller accepts it as
// complete: a completion, or a stream with a finish reason and the final event.
func (a answer) complete() (string, bool) {
	if a.err != nil || a.status != 200 {
		return "", false
	}
	events := a.events()
	if len(events) == 0 {
		return a.text(), a.text() != ""
	}
	var text strings.Builder
	finished := false
	for _, event := range events {
		var chunk struct {
			Choices []struct {
				Delta        struct{ Content string }
				FinishReason string `json:"finish_reason"`
			}
		}
		if json.Unmarshal([]byte(event), &chunk) == nil && len(chunk.Choices) > 0 {
			text.WriteString(chunk.Choices[0].Delta.Content)
			finished = finished || chunk.Choices[0].FinishReason != ""
		}
	}
	return text.String(), finished && events[len(events)-1] == "[DONE]"
}

// replicasOf returns the indexes of the hosts that hold a copy of a program, the owner
// first.
func (s *site) replicasOf(account, root string) []int {
	id := owner.PartitionOfProgram(program.Key{Account: structs.AccountID(account), Root: structs.ProgramID(root)})
	for i := range s.config.hosts {
		r := s.host(i)
		if r == nil || !r.Ready() {
			continue
		}
		var indexes []int
		for _, replica := range partition.NewTable(r.View()).Replicas(id) {
			number := 0
			_, _ = fmt.Sscanf(string(replica.ID), "host-%d", &number)
			indexes = append(indexes, number-1)
		}
		return indexes
	}
	s.t.Fatal("no host is ready")
	return nil
}

func contextWithTimeout(limit time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), limit)
}

// anyHost returns a host that is up.
func (s *site) anyHost() *runningHost {
	for i := range s.config.hosts {
		if r := s.host(i); r != nil {
			return r
		}
	}
	s.t.Fatal("no host is up")
	return nil
}
