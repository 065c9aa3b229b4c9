package route

// Service is a pool of upstream replicas.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the number of connections that one replica accepts from all callers
	// together.
	MaxConnections int
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
