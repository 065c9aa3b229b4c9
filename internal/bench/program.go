package bench

import "time"

// program is one agent program of a workload. Its shape is fixed when the workload
// is generated and not known to the policy.
type program struct {
	// number is unique over the workload, from 1.
	number  uint64
	account int
	kind    string
	start   time.Duration
	// prefix is the shared system prompt.
	prefix       uint64
	prefixTokens int64
	turns        []turn
	// loops marks a program of the scenario loops that ends only by its budget. It is not
	// measured.
	loops bool
}

// turn is one call of a program and what follows it.
type turn struct {
	// input is what the call adds to the history: a person's message or a tool's result.
	input, output int64
	// pause is the time until the next call.
	pause time.Duration
	// person says that the pause is a person who reads and types; otherwise a tool runs.
	person bool
	// agents start after this call; the next call waits for all of them and the pause.
	agents []*program
}

// prompt returns the tokens of the prompt of a turn.
func (p *program) prompt(index int) int64 {
	prompt := p.prefixTokens
	for i := range index {
		prompt += p.turns[i].input + p.turns[i].output
	}
	return prompt + p.turns[index].input
}

// calls counts the calls of a program with its sub-agents.
func (p *program) calls() int {
	count := len(p.turns)
	for _, t := range p.turns {
		for _, agent := range t.agents {
			count += agent.calls()
		}
	}
	return count
}

// work is the engine time of a program in a full batch when nothing is computed
// twice.
func (p *program) work(engine EngineSettings) time.Duration {
	total := time.Duration(0)
	prompt := p.prefixTokens
	for _, t := range p.turns {
		prompt += t.input
		total += engine.work(t.input, prompt, t.output)
		prompt += t.output
		for _, agent := range t.agents {
			total += agent.work(engine)
		}
	}
	return total
}

// alone is the latency of a program on an idle pool that has its shared prefixes
// cached, without pauses of persons.
func (p *program) alone(engine EngineSettings, overhead time.Duration) time.Duration {
	total := time.Duration(0)
	prompt := p.prefixTokens
	for i, t := range p.turns {
		prompt += t.input
		_, call := engine.alone(t.input, prompt, t.output)
		total += overhead + call
		prompt += t.output
		if i < len(p.turns)-1 {
			total += p.gapAlone(t, engine, overhead)
		}
	}
	return total
}

// gapAlone is the time between two calls that counts into the latency: the tool
// pause or the slowest sub-agent.
func (p *program) gapAlone(t turn, engine EngineSettings, overhead time.Duration) time.Duration {
	gap := time.Duration(0)
	if !t.person {
		gap = t.pause
	}
	for _, agent := range t.agents {
		gap = max(gap, agent.alone(engine, overhead))
	}
	return gap
}
