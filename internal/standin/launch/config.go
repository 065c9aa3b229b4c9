package launch

import (
	"time"

	"cowslipgw/internal/standin/app"
	"cowslipgw/internal/standin/engine"
	"cowslipgw/internal/standin/logserver"
	"cowslipgw/internal/standin/weights"
)

// Config is what one process runs. Sections that the file does not have are nil.
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

// PoolConfig is common to engine and app sections.
type PoolConfig struct {
	// Name is the section's name and the prefix of the replicas' IDs.
	Name     string
	Listen   string
	Replicas int
	// Pool is the name in the host list; the default is Name.
	Pool string
	// Domains are assigned to the replicas in turn.
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
