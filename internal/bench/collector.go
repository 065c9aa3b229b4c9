package bench

import "time"

// collector accumulates the raw data from which the measures of a run are computed.
type collector struct {
	deployment  Deployment
	reference   *referenceLimiter
	programs    []*programRun
	interrupted int

	// computedPrograms and computedPrefixes are the context lengths, in tokens, that
	// some replica has already computed for a program or a shared prefix.
	computedPrograms map[uint64]int64
	computedPrefixes map[uint64]int64
	prefilled        int64
	recomputed       int64

	firstTokens, interTokens []time.Duration
	// offeredWork and servedWork are the service times, for each account, of the
	// calls that were admitted and that were answered in the measurement window.
	offeredWork, servedWork []time.Duration
}

func newCollector(d Deployment, w workload) *collector {
	return &collector{
		deployment:       d,
		reference:        newReferenceLimiter(w.limits),
		computedPrograms: make(map[uint64]int64),
		computedPrefixes: make(map[uint64]int64),
		offeredWork:      make([]time.Duration, len(d.Accounts)),
		servedWork:       make([]time.Duration, len(d.Accounts)),
	}
}

// inMeasurementWindow reports whether now is in the measurement window.
func inMeasurementWindow(now time.Duration) bool {
	return now >= warmUp && now < measurementEnd
}

// callServiceTime returns the service time of a call, provided that no token is
// computed twice.
func (c *collector) callServiceTime(call *callRun) time.Duration {
	t := call.run.turns[call.turn]
	return c.deployment.Engine.serviceTime(t.input, call.run.prompt(call.turn), t.output)
}

// recordOffered records an admitted call.
func (c *collector) recordOffered(call *callRun, now time.Duration) {
	if inMeasurementWindow(now) {
		c.offeredWork[call.run.account] += c.callServiceTime(call)
	}
}

// recordPrefill records the prompt of a call that joins a batch. Prompt tokens that
// some replica had already computed for the program or its shared prefix count as
// recomputed.
func (c *collector) recordPrefill(run *programRun, prompt, cached int64, now time.Duration) {
	computed := max(c.computedPrograms[run.number], c.computedPrefixes[run.prefix])
	if inMeasurementWindow(now) {
		c.prefilled += prompt - cached
		// The last prompt token is always computed and never counts as recomputed.
		c.recomputed += max(0, min(computed, prompt-1)-cached)
	}
	c.computedPrograms[run.number] = max(prompt, c.computedPrograms[run.number])
	c.computedPrefixes[run.prefix] = run.prefixTokens
}

// recordServed records an answered call.
func (c *collector) recordServed(call *callRun, result engineResult, now time.Duration) {
	engine := call.engine
	c.computedPrograms[call.run.number] = engine.prompt + engine.output
	if !inMeasurementWindow(now) {
		return
	}
	c.servedWork[call.run.account] += c.callServiceTime(call)
	submittedAt := now - result.total
	c.firstTokens = append(c.firstTokens, submittedAt-call.sentAt+result.firstToken)
	if engine.output > 1 {
		c.interTokens = append(c.interTokens, (result.total-result.firstToken)/time.Duration(engine.output-1))
	}
}

// recordEnded records a measured program that has ended.
func (c *collector) recordEnded(run *programRun) {
	c.programs = append(c.programs, run)
}
