package host_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cowslipgw/internal/settings"
	"cowslipgw/internal/standin/app"
	"cowslipgw/internal/standin/engine"
	"cowslipgw/internal/standin/logserver"
	"cowslipgw/internal/structs"
)

var siteSeeds = flag.Int("site.seeds", 4, "how many seeds the randomized test of a whole site runs")

// TestRandomFaults guards against violations of any guarantee under combinations of
// faults that no other scenario has. Chat programs and non-idempotent calls run while
// random hosts die, are partitioned and restart, and the log and upstreams fail.
func TestRandomFaults(t *testing.T) {
	t.Parallel()
	for seed := range uint64(*siteSeeds) {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			t.Parallel()
			config := siteConfig{app: app.Settings{Work: 200 * time.Millisecond}, changeSettings: func(h *settings.Host) {
				// A call at a hanging engine runs for this time, and its retries wait until it
				// ends.
				h.Upstream.AnswerTimeout = 20 * time.Second
			}}
			runSite(t, config, func(s *site) {
				(&randomRun{
					chaos:       &chaos{site: s},
					random:      rand.New(rand.NewPCG(seed, 7)),
					failedHosts: make(map[int]func()),
				}).run()
			})
		})
	}
}

// randomRun is one run of TestRandomFaults.
type randomRun struct {
	*chaos
	random *rand.Rand
	// failedHosts maps the hosts that may have lost their copies to functions that restore
	// them.
	failedHosts map[int]func()
	faultsEnded atomic.Bool
}

const (
	randomPrograms = 4
	randomDuration = 50 * time.Second
	// maxFailedHosts is the number of hosts that may lose their copies at once. A
	// partition has three copies.
	maxFailedHosts = 2
)

func (r *randomRun) run() {
	stop := make(chan struct{})
	r.watchVersions(stop)
	var keys []string
	for p := range randomPrograms {
		seed := r.random.Uint64()
		r.workers.Go(func() { r.runProgram(fmt.Sprint("program-", p), rand.New(rand.NewPCG(seed, 0))) })
	}
	end := time.Now().Add(randomDuration)
	for n := 0; time.Now().Before(end); n++ {
		key, host := fmt.Sprint("pickup-", n), r.random.IntN(r.config.hosts)
		keys = append(keys, key)
		r.workers.Go(func() { r.pickupAtRandomHosts(key, host) })
		r.workers.Go(func() { r.try(host, "", r.pickupWithoutKey("workshop", key)) })
		r.workers.Go(func() { r.try((host+1)%r.config.hosts, "", r.pickupWithoutKey("workshop", key)) })
		if n%3 == 0 {
			r.injectRandomFault()
		}
		time.Sleep(time.Duration(100+r.random.IntN(500)) * time.Millisecond)
	}
	r.restoreAll()
	r.faultsEnded.Store(true)
	close(stop)
	r.workers.Wait()
	r.checkFinal(keys)
	r.checkClaims(keys)
	r.checkRate(workshopRate, workshopBurst)
	r.checkHistories()
	r.checkNoKeyLeaks()
	base := r.awaitAgreement(inForceWithin).Version
	if got := r.editLists(0, base, "last"); got.status != 200 {
		r.t.Errorf("the last edit was answered %d %s", got.status, got.body)
	}
	r.awaitAgreement(inForceWithin)
}

// injectRandomFault injects a random fault or ends all faults of hosts, links and the
// log.
func (r *randomRun) injectRandomFault() {
	host := r.random.IntN(r.config.hosts)
	switch r.random.IntN(12) {
	case 0, 1:
		r.failHost(host, func() { r.kill(host) }, func() { r.start(host) })
	case 2:
		cut := append(r.ipsOutside(host), logIP)
		r.failHost(host, func() { r.setCut(true, host, cut...) }, func() { r.setCut(false, host, cut...) })
	case 3:
		cut := r.ipsOutside(host)
		r.failHost(host, func() { r.setCut(true, host, cut...) }, func() { r.setCut(false, host, cut...) })
	case 4:
		r.failHost(host, func() { r.stop(host) }, func() { r.start(host) })
	case 5:
		r.setCut(r.random.IntN(2) == 0, host, logIP)
	case 6, 7:
		r.log.SetFaults([]logserver.Faults{
			{}, {}, {Down: true}, {DelayMillis: 1500}, {LoseAnswers: 5}, {DelayMillis: 300, LoseAnswers: 3},
		}[r.random.IntN(6)])
	case 8:
		faults := []app.Faults{{DropAfterRun: true, Times: 1}, {HangBeforeRun: true, Times: 1}, {SlowMillis: 4000, Times: 2}}
		r.apps["app-1"].SetFaults(faults[r.random.IntN(3)])
	case 9:
		faults := []engine.Faults{{DieAfterTokens: 2, Times: 1}, {FailStatus: 503, Times: 1}, {HangAfterTokens: 2, Times: 1}}
		r.engines["llm-1"].SetFaults(faults[r.random.IntN(3)])
	default:
		if len(r.failedHosts) > 0 {
			r.restoreAll()
		}
	}
}

// failHost makes a host fail and lose its copies, unless it has failed already or
// maxFailedHosts hosts have.
func (r *randomRun) failHost(host int, begin, end func()) {
	if r.failedHosts[host] != nil || len(r.failedHosts) >= maxFailedHosts {
		return
	}
	r.failedHosts[host] = end
	begin()
}

// restoreAll ends the faults of hosts, links and the log. It waits until failed hosts,
// which lost their copies, have received them again from the other hosts.
func (r *randomRun) restoreAll() {
	r.log.SetFaults(logserver.Faults{})
	for i := range r.config.hosts {
		if restore := r.failedHosts[i]; restore != nil {
			restore()
		}
		r.setCut(false, i, logIP)
	}
	clear(r.failedHosts)
	r.awaitReady()
	time.Sleep(3 * time.Second)
}

// pickupAtRandomHosts retries a non-idempotent call at one host after another, starting
// with a random one, until its outcome is known.
func (r *randomRun) pickupAtRandomHosts(key string, host int) {
	for i := range 60 {
		if got := r.try((host+i)%r.config.hosts, key, r.pickup("clinic", key, "packs for "+key)); isFinal(got.answer) {
			return
		}
		time.Sleep(time.Duration(i) * 200 * time.Millisecond)
	}
	r.t.Errorf("%s has no final answer: %s", key, r.describe(key))
}

// runProgram runs the turns of a program one after another until the faults have ended,
// and then one last turn.
func (r *randomRun) runProgram(program string, random *rand.Rand) {
	for turn := 0; ; turn++ {
		// The plan allows 160 calls per program, which a long run could exceed.
		last := r.faultsEnded.Load() || turn == 140
		key := fmt.Sprintf("%s/%d", program, turn)
		if last {
			key = program + "/last"
		}
		request := r.chat("clinic", program, key).with("Idempotency-Key", key)
		for i := 0; ; i++ {
			got := r.try(random.IntN(r.config.hosts), key, request)
			if isFinal(got.answer) || got.run() == structs.RunYes {
				break
			}
			if i == 60 {
				r.t.Errorf("%s has no final answer: %s", key, r.describe(key))
				return
			}
			time.Sleep(time.Duration(i) * 200 * time.Millisecond)
		}
		if last {
			return
		}
		time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
	}
}

// checkHistories checks the history that an engine got with the last turn of each
// program. It must contain every answered turn exactly once, in order and with the answer
// that the caller got.
func (r *randomRun) checkHistories() {
	for p := range randomPrograms {
		program := fmt.Sprint("program-", p)
		messages := r.historyOf(program + "/last")
		if messages == nil {
			r.t.Errorf("no engine got the last turn of %s: %s", program, r.describe(program+"/last"))
			continue
		}
		var userMessages []string
		for _, m := range messages {
			if m.Role == "user" {
				userMessages = append(userMessages, m.Content)
			}
			if !strings.HasPrefix(m.Content, program) && m.Role == "user" {
				r.t.Errorf("%s has a message of another program: %q", program, m.Content)
			}
		}
		position := -1
		for turn := 0; len(r.attemptsWith(fmt.Sprintf("%s/%d", program, turn))) > 0; turn++ {
			key := fmt.Sprintf("%s/%d", program, turn)
			at := slices.Index(userMessages, key)
			text, answered := r.answerTo(key)
			switch {
			case at < 0 && answered:
				r.t.Errorf("%s was answered and is missing in the history: %s", key, r.describe(key))
			case at >= 0 && (at <= position || slices.Contains(userMessages[at+1:], key)):
				r.t.Errorf("%s is out of order or twice in the history: %v", key, userMessages)
			case at >= 0 && answered && !slices.ContainsFunc(messages, func(m message) bool { return m.Content == text }):
				r.t.Errorf("the answer to %s is not in the history: %q", key, text)
			}
			position = max(position, at)
		}
	}
}

// answerTo returns the text of the answer to a turn, if the caller got one.
func (r *randomRun) answerTo(key string) (string, bool) {
	for _, a := range r.attemptsWith(key) {
		if a.err == nil && a.status == 200 {
			return a.text(), true
		}
	}
	return "", false
}

// message is one message of a chat request.
type message struct{ Role, Content string }

// historyOf returns the messages that an engine got with a turn, or nil if no engine got
// it.
func (r *randomRun) historyOf(last string) []message {
	for _, e := range r.engines {
		for _, request := range e.Requests() {
			var body struct{ Messages []message }
			if json.Unmarshal(request.Body, &body) != nil || len(body.Messages) == 0 {
				continue
			}
			if body.Messages[len(body.Messages)-1].Content == last {
				return body.Messages
			}
		}
	}
	return nil
}
