package launch

import (
	"time"

	"cowslipgw/internal/standin/app"
	"cowslipgw/internal/standin/engine"
	"cowslipgw/internal/standin/logserver"
	"cowslipgw/internal/standin/weights"
)

// Config is the configuration of one stand-in process. Sections that are not in
// the file are nil.
type Config struct {
	Log     *LogConfig
	Hosts   *HostsConfig
	Weights *WeightsConfig
	Engines []*EngineConfig
	Apps    []*AppConfig
}

// LogConfig is the section [log].
type LogConfig struct {
	Listen   string
	Settings logserver.Settings
}

// HostsConfig is the section [hosts].
type HostsConfig struct {
	Listen string
	Lag    time.Duration
}

// WeightsConfig is the section [weights].
type WeightsConfig struct {
	Listen   string
	Settings weights.Settings
}

// PoolConfig holds the settings common to engine and app sections.
type PoolConfig struct {
	// Name is the name of the section and the prefix of the replica IDs.
	Name     string
	Listen   string
	Replicas int
	// Pool is the name of the pool in the host list. The default is Name.
	Pool string
	// Domains are the failure domains, assigned to the replicas round-robin.
	Domains []string
}

// EngineConfig is a section [engine "NAME"].
type EngineConfig struct {
	PoolConfig
	Settings engine.Settings
}

// AppConfig is a section [app "NAME"].
type AppConfig struct {
	PoolConfig
	Settings app.Settings
}
