package bench

import "time"

// collector gathers what a run is measured by.
type collector struct {
	deployment Deployment
	rate       *recount
	programs   []*programRun
	cut        int

	// knownPrograms and knownPrefixes are the tokens that some replica has computed.
	knownPrograms map[uint64]int64
	knownPrefixes map[uint64]int64
	prefilled     int64
	recomputed    int64

	firstTokens, interTokens []time.Duration
	// offeredWork and servedWork are the engine time of each account's calls that were
	// admitted and that were answered in the measured time.
	offeredWork, servedWork []time.Duration
}

func newCollector(d Deployment, w workload) *collector {
	return &collector{
		deployment:    d,
		rate:          newRecount(w.limits),
		knownPrograms: make(map[uint64]int64),
		knownPrefixes: make(map[uint64]int64),
		offeredWork:   make([]time.Duration, len(d.Accounts)),
		servedWork:    make([]time.Duration, len(d.Accounts)),
	}
}

// inWindow says whether the moment is in the measured time.
func inWindow(now time.Duration) bool {
	return now >= warmUp && now < measureEnd
}

// callWork is the engine time of a call when nothing is computed twice.
func (c *collector) callWork(call *callRun) time.Duration {
	t := call.run.turns[call.turn]
	return c.deployment.Engine.work(t.input, call.run.prompt(call.turn), t.output)
}

// offered adds an admitted call.
func (c *collector) offered(call *callRun, now time.Duration) {
	if inWindow(now) {
		c.offeredWork[call.run.account] += c.callWork(call)
	}
}

// prefill adds the prompt of a call that enters a batch. What some replica computed
// before for the program or its shared prefix counts as computed again.
func (c *collector) prefill(run *programRun, prompt, cached int64, now time.Duration) {
	known := max(c.knownPrograms[run.number], c.knownPrefixes[run.prefix])
	if inWindow(now) {
		c.prefilled += prompt - cached
		// The last prompt token is always computed and never counts as waste.
		c.recomputed += max(0, min(known, prompt-1)-cached)
	}
	c.knownPrograms[run.number] = max(prompt, c.knownPrograms[run.number])
	c.knownPrefixes[run.prefix] = run.prefixTokens
}

// served adds an answered call.
func (c *collector) served(call *callRun, result engineResult, now time.Duration) {
	engine := call.engine
	c.knownPrograms[call.run.number] = engine.prompt + engine.output
	if !inWindow(now) {
		return
	}
	c.servedWork[call.run.account] += c.callWork(call)
	sent := now - result.total
	c.firstTokens = append(c.firstTokens, sent-call.asked+result.firstToken)
	if engine.output > 1 {
		c.interTokens = append(c.interTokens, (result.total-result.firstToken)/time.Duration(engine.output-1))
	}
}

// ended adds a measured program.
func (c *collector) ended(run *programRun) {
	c.programs = append(c.programs, run)
}
