package bench

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// maxContext is the context window of the emulated model. A program ends before
// exceeding it.
const maxContext = 120_000

// generator draws the programs of one workload. A seed yields the same programs for
// every policy.
type generator struct {
	deployment Deployment
	random     *rand.Rand
	lastNumber uint64
}

func newGenerator(d Deployment, seed uint64) *generator {
	return &generator{deployment: d, random: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15))}
}

// draw samples the distribution.
func (g *generator) draw(d logNormal) float64 {
	value := d.median * math.Exp(d.sigma*g.random.NormFloat64())
	return min(d.max, value)
}

// tokens samples a length in tokens, which is at least 1.
func (g *generator) tokens(d logNormal) int64 {
	return max(1, int64(g.draw(d)))
}

// duration samples a time that the distribution gives in seconds.
func (g *generator) duration(d logNormal) time.Duration {
	return time.Duration(g.draw(d) * float64(time.Second))
}

// pick draws an index with the given relative frequencies.
func (g *generator) pick(weights []float64) int {
	total := 0.0
	for _, w := range weights {
		total += w
	}
	value := g.random.Float64() * total
	for i, w := range weights {
		value -= w
		if value < 0 {
			return i
		}
	}
	return len(weights) - 1
}

// accountPrograms draws programs of one account until they add up to the given
// service time. Their start times are uniform over the given duration.
func (g *generator) accountPrograms(index int, work, duration time.Duration) []*program {
	var programs []*program
	for work > 0 {
		k := g.deployment.kinds[g.pick(g.deployment.Accounts[index].kinds)]
		p := g.program(index, k)
		p.start = time.Duration(g.random.Float64() * float64(duration))
		work -= p.serviceTime(g.deployment.Engine)
		programs = append(programs, p)
	}
	return programs
}

// program draws one program of a kind.
func (g *generator) program(account int, k programKind) *program {
	p := g.newProgram(account, k)
	count := int(max(1, math.Round(g.draw(k.turns))))
	context := p.prefixTokens
	input := k.firstInput
	for range count {
		t, next := g.turn(account, k, input)
		context += t.input + t.output
		if context > maxContext {
			break
		}
		p.turns = append(p.turns, t)
		input = next
	}
	if len(p.turns) == 0 {
		p.turns = append(p.turns, turn{input: 1, output: 1})
	}
	return p
}

// newProgram draws a program without turns.
func (g *generator) newProgram(account int, k programKind) *program {
	g.lastNumber++
	index := slices.IndexFunc(g.deployment.kinds, func(other programKind) bool { return other.name == k.name })
	prefix := uint64(index)*100 + uint64(g.random.IntN(k.prefixCount)) + 1
	return &program{number: g.lastNumber, account: account, kind: k.name, prefix: prefix, prefixTokens: k.prefixTokens}
}

// turn draws one call and returns the input distribution of the next call.
func (g *generator) turn(account int, k programKind, input logNormal) (turn, logNormal) {
	t := turn{input: g.tokens(input), output: g.tokens(k.output)}
	if g.random.Float64() < k.userProbability {
		t.waitsForUser = true
		t.pause = g.duration(k.userThinkTime)
		return t, k.userInput
	}
	t.pause = g.duration(k.toolLatency)
	if g.random.Float64() < k.subAgentProbability {
		for range 1 + g.random.IntN(k.maxSubAgents) {
			t.subAgents = append(t.subAgents, g.subAgent(account, k))
		}
	}
	return t, k.toolResult
}

// subAgent draws a sub-agent: a shorter program without user turns and without
// sub-agents of its own. Sub-agents of the same kind share their system prompt.
func (g *generator) subAgent(account int, k programKind) *program {
	p := g.newProgram(account, k)
	p.kind = k.name + "/agent"
	p.prefix += 50
	p.prefixTokens = k.prefixTokens / 2
	k.userProbability, k.subAgentProbability = 0, 0
	input := k.firstInput
	for range 1 + g.random.IntN(k.maxSubAgentTurns) {
		t, next := g.turn(account, k, input)
		p.turns = append(p.turns, t)
		input = next
	}
	return p
}
