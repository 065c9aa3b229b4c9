package launch

import (
	"fmt"
	"strings"

	"gopkg.in/ini.v1"
)

// maxReplicas bounds the replicas of one section.
const maxReplicas = 256

// Read reads a configuration file.
func Read(file string) (*Config, error) {
	options := ini.LoadOptions{AllowShadows: true, AllowDuplicateShadowValues: true}
	document, err := ini.LoadSources(options, file)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	config := &Config{}
	for _, section := range document.Sections() {
		if err := config.add(file, section); err != nil {
			return nil, err
		}
	}
	if config.empty() {
		return nil, fmt.Errorf("%s: no service is configured; allowed sections: %s", file, allowedSections)
	}
	return config, nil
}

// allowedSections is part of error texts.
const allowedSections = `[log], [hosts], [weights], [engine "NAME"], [app "NAME"]`

func (c *Config) empty() bool {
	return c.Log == nil && c.Hosts == nil && c.Weights == nil && len(c.Engines) == 0 && len(c.Apps) == 0
}

// add reads one section.
func (c *Config) add(file string, section *ini.Section) error {
	kind, name, named := sectionName(section.Name())
	var listen *string
	var fields []field
	switch {
	case section.Name() == ini.DefaultSection:
		for _, key := range section.Keys() {
			return keyError(file, section, key, "the key stands before the first section; allowed sections: "+allowedSections)
		}
		return nil
	case kind == "log" && !named:
		c.Log = &LogConfig{}
		listen, fields = &c.Log.Listen, c.Log.fields()
	case kind == "hosts" && !named:
		c.Hosts = &HostsConfig{}
		listen, fields = &c.Hosts.Listen, c.Hosts.fields()
	case kind == "weights" && !named:
		c.Weights = &WeightsConfig{}
		listen, fields = &c.Weights.Listen, c.Weights.fields()
	case kind == "engine" && named:
		engine := &EngineConfig{PoolConfig: newPool(name)}
		c.Engines = append(c.Engines, engine)
		listen, fields = &engine.Listen, engine.fields()
	case kind == "app" && named:
		app := &AppConfig{PoolConfig: newPool(name)}
		c.Apps = append(c.Apps, app)
		listen, fields = &app.Listen, app.fields()
	default:
		return fmt.Errorf("%s: unknown section [%s]; allowed: %s", file, section.Name(), allowedSections)
	}
	fields = append([]field{value("listen", listen, parseLoopback)}, fields...)
	if err := readSection(file, section, fields); err != nil {
		return err
	}
	if *listen == "" {
		return fmt.Errorf("%s: section [%s]: key listen is missing", file, section.Name())
	}
	return nil
}

// sectionName splits `engine "NAME"`.
func sectionName(text string) (kind, name string, named bool) {
	kind, name, _ = strings.Cut(text, " ")
	unquoted := strings.Trim(name, `"`)
	return kind, unquoted, unquoted != "" && name == `"`+unquoted+`"`
}

func newPool(name string) PoolConfig {
	return PoolConfig{Name: name, Pool: name, Replicas: 1, Domains: []string{"local"}}
}

func (c *LogConfig) fields() []field {
	return []field{
		value("appends_per_second", &c.Settings.AppendsPerSecond, parseRate),
		value("retain_for", &c.Settings.RetainFor, parseDuration),
		value("retain_records", &c.Settings.RetainRecords, parseCount[int]),
		value("max_record_bytes", &c.Settings.MaxRecordBytes, parseCount[int]),
	}
}

func (c *HostsConfig) fields() []field {
	return []field{value("lag", &c.Lag, parseDuration)}
}

func (c *WeightsConfig) fields() []field {
	return []field{
		value("bytes_per_second", &c.Settings.BytesPerSecond, parseCount[int64]),
		value("max_downloads", &c.Settings.MaxDownloads, parseCount[int]),
		value("models", &c.Settings.Models, parseModels),
	}
}

func (c *PoolConfig) fields() []field {
	return []field{
		value("replicas", &c.Replicas, parseReplicas),
		value("pool", &c.Pool, parseText),
		value("failure_domains", &c.Domains, parseList),
	}
}

func parseReplicas(text string) (int, error) {
	count, err := parseCount[int](text)
	if err != nil || count < 1 || count > maxReplicas {
		return 0, fmt.Errorf("must be a whole number from 1 to %d", maxReplicas)
	}
	return count, nil
}

func (c *EngineConfig) fields() []field {
	s := &c.Settings
	return append(c.PoolConfig.fields(),
		value("models", &s.Models, parseList),
		value("slots", &s.Slots, parseCount[int]),
		value("max_queue", &s.MaxQueue, parseCount[int]),
		value("prefill_per_token", &s.PrefillPerToken, parseDuration),
		value("prefill_chunk", &s.PrefillChunk, parseCount[int64]),
		value("step_base", &s.StepBase, parseDuration),
		value("step_per_call", &s.StepPerCall, parseDuration),
		value("cache_tokens", &s.CacheTokens, parseCount[int64]),
		value("cache_event_lag", &s.CacheEventLag, parseDuration),
		value("cache_event_gap", &s.CacheEventGap, parseCount[uint64]),
		value("load_lag", &s.LoadLag, parseDuration),
		value("checks_fence", &s.ChecksFence, parseSwitch),
		value("resume_window", &s.ResumeWindow, parseDuration),
		value("default_tokens", &s.DefaultTokens, parseCount[int]),
		value("kv_per_token", &s.KVPerToken, parseDuration),
		value("weights", &s.Weights, parseLoopback),
	)
}

func (c *AppConfig) fields() []field {
	s := &c.Settings
	return append(c.PoolConfig.fields(),
		value("work", &s.Work, parseDuration),
		value("event_interval", &s.EventInterval, parseDuration),
		value("load_lag", &s.LoadLag, parseDuration),
		value("slots", &s.Slots, parseCount[int]),
	)
}
