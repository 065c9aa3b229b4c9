package engine

import (
	"time"

	"cowslipgw/internal/transport"
)

// Settings of an engine. Zero values mean the defaults; a zero lag or window means
// none.
type Settings struct {
	// ID names the replica in system_fingerprint.
	ID string
	// Models are loaded at the start; default "default-llm".
	Models []string
	// Slots is how many calls are batched at once; default 16.
	Slots int
	// MaxQueue is how many calls wait for a slot; more get 503. Default 256.
	MaxQueue int
	// PrefillPerToken is the cost of one token that is not in the cache; default 50 µs.
	PrefillPerToken time.Duration
	// PrefillChunk is how many tokens one step prefills at most; default 512.
	PrefillChunk int64
	// StepBase is the cost of one step of the batch; default 12 ms.
	StepBase time.Duration
	// StepPerCall is the cost that each decoding call adds to a step; default 300 µs.
	StepPerCall time.Duration
	// CacheTokens is the memory of the prefix cache in tokens; default 200,000.
	CacheTokens int64
	// CacheEventLag is how late cache events are reported.
	CacheEventLag time.Duration
	// CacheEventGap drops every event whose number is a multiple of it; 0 drops none.
	CacheEventGap uint64
	// LoadLag is how old the load report is.
	LoadLag time.Duration
	// ChecksFence makes the engine refuse orders and calls with an old fencing number.
	ChecksFence bool
	// ResumeWindow is how long a call goes on after its stream broke. Without it the
	// call is cancelled at once.
	ResumeWindow time.Duration
	// DefaultTokens limits an answer when the request has no limit; default 1024.
	DefaultTokens int
	// KVPerToken is the cost of exporting or importing one token; default 1 µs.
	KVPerToken time.Duration
	// Weights is the "ip:port" of the weight store; without it, models load at once.
	Weights string
	// Network is used to reach the weight store; default TCP.
	Network transport.Network
}

func (s Settings) withDefaults() Settings {
	if len(s.Models) == 0 {
		s.Models = []string{"default-llm"}
	}
	if s.Network == nil {
		s.Network = transport.TCP{}
	}
	setDefault(&s.Slots, 16)
	setDefault(&s.MaxQueue, 256)
	setDefault(&s.PrefillPerToken, 50*time.Microsecond)
	setDefault(&s.PrefillChunk, 512)
	setDefault(&s.StepBase, 12*time.Millisecond)
	setDefault(&s.StepPerCall, 300*time.Microsecond)
	setDefault(&s.CacheTokens, 200_000)
	setDefault(&s.DefaultTokens, 1024)
	setDefault(&s.KVPerToken, time.Microsecond)
	return s
}

func setDefault[T int | int64 | time.Duration](value *T, fallback T) {
	if *value <= 0 {
		*value = fallback
	}
}
