package bench

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// maxContext ends a program: the context that the emulated model supports.
const maxContext = 120_000

// generator draws the programs of one workload. The same seed gives the same
// programs for every policy.
type generator struct {
	deployment Deployment
	random     *rand.Rand
	next       uint64
}

func newGenerator(d Deployment, seed uint64) *generator {
	return &generator{deployment: d, random: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15))}
}

// draw returns one value, at least 1.
func (g *generator) draw(d logNormal) float64 {
	value := d.median * math.Exp(d.sigma*g.random.NormFloat64())
	return min(d.most, value)
}

func (g *generator) tokens(d logNormal) int64 {
	return max(1, int64(g.draw(d)))
}

func (g *generator) pause(d logNormal) time.Duration {
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

// account draws programs of one account until they amount to the given engine
// time, with starts at random moments of the given duration.
func (g *generator) account(index int, work, duration time.Duration) []*program {
	var programs []*program
	for work > 0 {
		k := g.deployment.kinds[g.pick(g.deployment.Accounts[index].kinds)]
		p := g.program(index, k)
		p.start = time.Duration(g.random.Float64() * float64(duration))
		work -= p.work(g.deployment.Engine)
		programs = append(programs, p)
	}
	return programs
}

// program draws one program of a kind.
func (g *generator) program(account int, k kind) *program {
	p := g.shell(account, k)
	count := int(max(1, math.Round(g.draw(k.turns))))
	context := p.prefixTokens
	input := k.first
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

// shell draws a program without turns.
func (g *generator) shell(account int, k kind) *program {
	g.next++
	index := slices.IndexFunc(g.deployment.kinds, func(other kind) bool { return other.name == k.name })
	prefix := uint64(index)*100 + uint64(g.random.IntN(k.prefixes)) + 1
	return &program{number: g.next, account: account, kind: k.name, prefix: prefix, prefixTokens: k.prefix}
}

// turn draws one call and returns what the input of the next one is.
func (g *generator) turn(account int, k kind, input logNormal) (turn, logNormal) {
	t := turn{input: g.tokens(input), output: g.tokens(k.output)}
	if g.random.Float64() < k.person {
		t.person = true
		t.pause = g.pause(k.personPause)
		return t, k.message
	}
	t.pause = g.pause(k.toolPause)
	if g.random.Float64() < k.agents {
		for range 1 + g.random.IntN(k.agentCount) {
			t.agents = append(t.agents, g.agent(account, k))
		}
	}
	return t, k.result
}

// agent draws a sub-agent: a shorter program without persons and without agents of
// its own. Its prompt is shared by the sub-agents of its kind.
func (g *generator) agent(account int, k kind) *program {
	p := g.shell(account, k)
	p.kind = k.name + "/agent"
	p.prefix += 50
	p.prefixTokens = k.prefix / 2
	k.person, k.agents = 0, 0
	input := k.first
	for range 1 + g.random.IntN(k.agentMostSize) {
		t, next := g.turn(account, k, input)
		p.turns = append(p.turns, t)
		input = next
	}
	return p
}
