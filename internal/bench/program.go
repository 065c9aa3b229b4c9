package bench

import "time"

// program is one agent program of a workload. Its turns are fixed when the workload
// is generated and are not visible to the policy.
type program struct {
	// number is unique within the workload; numbering starts at 1.
	number  uint64
	account int
	kind    string
	start   time.Duration
	// prefix identifies the shared system prompt.
	prefix       uint64
	prefixTokens int64
	turns        []turn
	// looping marks a program of the loops scenario, which ends only when its budget
	// is exhausted. Looping programs are not measured.
	looping bool
}

// turn is one call of a program and the pause that follows it.
type turn struct {
	// input is the number of tokens that the call appends to the history: a user's
	// message or a tool result.
	input, output int64
	// pause is the time until the next call.
	pause time.Duration
	// waitsForUser marks a pause in which a user reads and types; in any other pause
	// a tool runs.
	waitsForUser bool
	// subAgents start after this call. The next call waits for the pause and for all
	// of them.
	subAgents []*program
}

// prompt returns the prompt length of a turn in tokens.
func (p *program) prompt(index int) int64 {
	prompt := p.prefixTokens
	for i := range index {
		prompt += p.turns[i].input + p.turns[i].output
	}
	return prompt + p.turns[index].input
}

// calls returns the number of calls of a program and its sub-agents.
func (p *program) calls() int {
	count := len(p.turns)
	for _, t := range p.turns {
		for _, agent := range t.subAgents {
			count += agent.calls()
		}
	}
	return count
}

// serviceTime returns the engine time of a program and its sub-agents in a full
// batch, provided that no token is computed twice.
func (p *program) serviceTime(engine EngineSettings) time.Duration {
	total := time.Duration(0)
	prompt := p.prefixTokens
	for _, t := range p.turns {
		prompt += t.input
		total += engine.serviceTime(t.input, prompt, t.output)
		prompt += t.output
		for _, agent := range t.subAgents {
			total += agent.serviceTime(engine)
		}
	}
	return total
}

// idleLatency returns the latency of a program on an idle pool with its shared
// prefixes cached, excluding user pauses.
func (p *program) idleLatency(engine EngineSettings, overhead time.Duration) time.Duration {
	total := time.Duration(0)
	prompt := p.prefixTokens
	for i, t := range p.turns {
		prompt += t.input
		_, call := engine.idleLatency(t.input, prompt, t.output)
		total += overhead + call
		prompt += t.output
		if i < len(p.turns)-1 {
			total += p.idleGap(t, engine, overhead)
		}
	}
	return total
}

// idleGap returns the part of the time between two calls that counts towards the
// latency: the tool's run time or the slowest sub-agent, whichever is longer.
func (p *program) idleGap(t turn, engine EngineSettings, overhead time.Duration) time.Duration {
	gap := time.Duration(0)
	if !t.waitsForUser {
		gap = t.pause
	}
	for _, agent := range t.subAgents {
		gap = max(gap, agent.idleLatency(engine, overhead))
	}
	return gap
}
