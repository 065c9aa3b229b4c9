package engine

import (
	"time"

	"cowslipgw/internal/transport"
)

// Settings configures an Engine. Zero values select the defaults; a zero lag or
// window disables it.
type Settings struct {
	// ID is the replica ID sent in system_fingerprint.
	ID string
	// Models are the models available at startup. The default is "default-llm".
	Models []string
	// Slots is the maximum batch size in calls. The default is 16.
	Slots int
	// MaxQueue is the maximum number of calls that wait for a slot. Further calls get
	// status 503. The default is 256.
	MaxQueue int
	// PrefillPerToken is the prefill time of one token that is not in the cache. The
	// default is 50 µs.
	PrefillPerToken time.Duration
	// PrefillChunk is the maximum number of tokens prefilled per step. The default is
	// 512.
	PrefillChunk int64
	// StepBase is the fixed duration of one step of the batch. The default is 12 ms.
	StepBase time.Duration
	// StepPerCall is the time that each decoding call adds to a step. The default is
	// 300 µs.
	StepPerCall time.Duration
	// CacheTokens is the capacity of the prefix cache in tokens. The default is
	// 200,000.
	CacheTokens int64
	// CacheEventLag is the delay before a cache event is reported.
	CacheEventLag time.Duration
	// CacheEventGap simulates lost events: events whose number is a multiple of it are
	// not reported. 0 disables this.
	CacheEventGap uint64
	// LoadLag is the age of the load report.
	LoadLag time.Duration
	// ChecksFence makes the engine reject orders and calls with a stale fencing token.
	ChecksFence bool
	// ResumeWindow is how long a call continues after its stream was interrupted. If
	// it is 0, the call is cancelled immediately.
	ResumeWindow time.Duration
	// DefaultTokens limits the length of an answer if the request sets no limit. The
	// default is 1024.
	DefaultTokens int
	// KVPerToken is the time to export or import the cache of one token. The default
	// is 1 µs.
	KVPerToken time.Duration
	// Weights is the "ip:port" of the weight store. If it is empty, models load
	// immediately.
	Weights string
	// Network is used to connect to the weight store. The default is TCP.
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
