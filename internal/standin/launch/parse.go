package launch

import (
	"fmt"
	"strings"

	"gopkg.in/ini.v1"
)

// maxReplicas is the maximum number of replicas of one section.
const maxReplicas = 256

// Read reads and validates a configuration file. Errors begin with the file name.
func Read(file string) (*Config, error) {
	options := ini.LoadOptions{AllowShadows: true, AllowDuplicateShadowValues: true}
	document, err := ini.LoadSources(options, file)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	config := &Config{}
	for _, section := range document.Sections() {
		if err := config.addSection(file, section); err != nil {
			return nil, err
		}
	}
	if config.isEmpty() {
		return nil, fmt.Errorf("%s: no service is configured; allowed sections: %s", file, allowedSections)
	}
	return config, nil
}

// allowedSections is the list of sections in error messages.
const allowedSections = `[log], [hosts], [weights], [engine "NAME"], [app "NAME"]`

func (c *Config) isEmpty() bool {
	return c.Log == nil && c.Hosts == nil && c.Weights == nil && len(c.Engines) == 0 && len(c.Apps) == 0
}

// addSection reads a section into the configuration.
func (c *Config) addSection(file string, section *ini.Section) error {
	kind, name, named := parseSectionName(section.Name())
	var listen *string
	var fields []field
	switch {
	case section.Name() == ini.DefaultSection:
		for _, key := range section.Keys() {
			return keyError(file, section, key, "the key appears before the first section; allowed sections: "+allowedSections)
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
		engine := &EngineConfig{PoolConfig: newPoolConfig(name)}
		c.Engines = append(c.Engines, engine)
		listen, fields = &engine.Listen, engine.fields()
	case kind == "app" && named:
		app := &AppConfig{PoolConfig: newPoolConfig(name)}
		c.Apps = append(c.Apps, app)
		listen, fields = &app.Listen, app.fields()
	default:
		return fmt.Errorf("%s: unknown section [%s]; allowed: %s", file, section.Name(), allowedSections)
	}
	fields = append([]field{newField("listen", listen, parseLoopback)}, fields...)
	if err := readSection(file, section, fields); err != nil {
		return err
	}
	if *listen == "" {
		return fmt.Errorf("%s: section [%s]: key listen is missing", file, section.Name())
	}
	return nil
}

// parseSectionName splits a section name such as `engine "NAME"` into its kind and
// name. named reports whether it has a quoted name.
func parseSectionName(text string) (kind, name string, named bool) {
	kind, name, _ = strings.Cut(text, " ")
	unquoted := strings.Trim(name, `"`)
	return kind, unquoted, unquoted != "" && name == `"`+unquoted+`"`
}

func newPoolConfig(name string) PoolConfig {
	return PoolConfig{Name: name, Pool: name, Replicas: 1, Domains: []string{"local"}}
}

func (c *LogConfig) fields() []field {
	return []field{
		newField("appends_per_second", &c.Settings.AppendsPerSecond, parseRate),
		newField("retain_for", &c.Settings.RetainFor, parseDuration),
		newField("retain_records", &c.Settings.RetainRecords, parseCount[int]),
		newField("max_record_bytes", &c.Settings.MaxRecordBytes, parseCount[int]),
	}
}

func (c *HostsConfig) fields() []field {
	return []field{newField("lag", &c.Lag, parseDuration)}
}

func (c *WeightsConfig) fields() []field {
	return []field{
		newField("bytes_per_second", &c.Settings.BytesPerSecond, parseCount[int64]),
		newField("max_downloads", &c.Settings.MaxDownloads, parseCount[int]),
		newField("models", &c.Settings.Models, parseModels),
	}
}

func (c *PoolConfig) fields() []field {
	return []field{
		newField("replicas", &c.Replicas, parseReplicas),
		newField("pool", &c.Pool, parseText),
		newField("failure_domains", &c.Domains, parseList),
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
		newField("models", &s.Models, parseList),
		newField("slots", &s.Slots, parseCount[int]),
		newField("max_queue", &s.MaxQueue, parseCount[int]),
		newField("prefill_per_token", &s.PrefillPerToken, parseDuration),
		newField("prefill_chunk", &s.PrefillChunk, parseCount[int64]),
		newField("step_base", &s.StepBase, parseDuration),
		newField("step_per_call", &s.StepPerCall, parseDuration),
		newField("cache_tokens", &s.CacheTokens, parseCount[int64]),
		newField("cache_event_lag", &s.CacheEventLag, parseDuration),
		newField("cache_event_gap", &s.CacheEventGap, parseCount[uint64]),
		newField("load_lag", &s.LoadLag, parseDuration),
		newField("checks_fence", &s.ChecksFence, parseBool),
		newField("resume_window", &s.ResumeWindow, parseDuration),
		newField("default_tokens", &s.DefaultTokens, parseCount[int]),
		newField("kv_per_token", &s.KVPerToken, parseDuration),
		newField("weights", &s.Weights, parseLoopback),
	)
}

func (c *AppConfig) fields() []field {
	s := &c.Settings
	return append(c.PoolConfig.fields(),
		newField("work", &s.Work, parseDuration),
		newField("event_interval", &s.EventInterval, parseDuration),
		newField("load_lag", &s.LoadLag, parseDuration),
		newField("slots", &s.Slots, parseCount[int]),
	)
}
