package route

import "time"

// Service is a pool of upstream replicas.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the number of connections that one replica accepts from all callers
	// together.
	MaxConnections int
	// ColdPerSecond is the number of requests per second that a replica accepts from all hosts while it
	// is cold, for ColdTime after its start; 0 if replicas need no such limit.
	ColdPerSecond float64
	ColdTime      time.Duration
	// Engine is nil for a plain service.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that one engine runs concurrently.
	Slots int
	// CacheTokens is the memory of one engine, in tokens.
	CacheTokens int
	// TokensPerEvent is the number of tokens per event of a stream.
	TokensPerEvent int
	// ReplicatesCache is set if the memory of a run can be copied to another engine while
	// it grows.
	ReplicatesCache bool
}
