package settings

import (
	"time"

	"cowslipgw/internal/structs"
)

// Units used in the bounds of the keys.
const (
	day      = 24 * time.Hour
	gibibyte = 1 << 30
)

// key describes one key of the file. A key without a default is required unless optional is
// set.
type key struct {
	section, name string
	// defaultValue is the default in the form used in the file.
	defaultValue string
	optional     bool
	valueType
}

// Keys of the upstream credential. Only one of them may be given.
const (
	credentialKey     = "credential"
	credentialFileKey = "credential_file"
)

// keys lists all keys of the file. Defaults are defined only here.
var keys = []key{
	{"host", "id", "", false, name(func(h *Host) *structs.HostID { return &h.ID })},
	{"host", "region", "", false, name(func(h *Host) *structs.Region { return &h.Region })},
	{"host", "failure_domain", "", false, name(func(h *Host) *structs.Domain { return &h.Domain })},
	{"host", "entry_address", "", false, address(func(h *Host) *string { return &h.EntryAddress })},
	{"host", "admin_address", "", false, address(func(h *Host) *string { return &h.AdminAddress })},
	{"host", "control_address", "", false, address(func(h *Host) *string { return &h.ControlAddress })},

	{"platform", "log", "", false, serviceURL(func(h *Host) *string { return &h.Platform.Log })},
	{"platform", "host_list", "", false, serviceURL(func(h *Host) *string { return &h.Platform.HostList })},
	{"platform", "log_retention", "24h", false, duration(func(h *Host) *time.Duration { return &h.Platform.LogRetention }, time.Minute, 365*day)},

	{"upstream", credentialKey, "", true, text(func(h *Host) *string { return &h.Upstream.Credential })},
	{"upstream", credentialFileKey, "", true, valueType{allowed: "the path of a file with one line", set: func(*Host, string) bool { return true }}},
	{"upstream", "first_byte_timeout", "30s", false, duration(func(h *Host) *time.Duration { return &h.Upstream.FirstByteTimeout }, 100*time.Millisecond, time.Hour)},
	{"upstream", "answer_timeout", "10m", false, duration(func(h *Host) *time.Duration { return &h.Upstream.AnswerTimeout }, time.Second, day)},
	{"upstream", "stream_idle_timeout", "30s", false, duration(func(h *Host) *time.Duration { return &h.Upstream.StreamIdleTimeout }, 100*time.Millisecond, time.Hour)},
	// A leaving upstream must receive no new work after 3 s, which limits both intervals.
	{"upstream", "poll_interval", "1s", false, duration(func(h *Host) *time.Duration { return &h.Upstream.PollInterval }, 100*time.Millisecond, 1500*time.Millisecond)},
	{"upstream", "load_interval", "500ms", false, duration(func(h *Host) *time.Duration { return &h.Upstream.LoadPollInterval }, 50*time.Millisecond, 1500*time.Millisecond)},
	{"upstream", "answer_limit", "16MiB", false, count(func(h *Host) *int64 { return &h.Upstream.AnswerLimit }, "bytes", 1024, gibibyte)},
	{"upstream", "weight_rate", "1GiB", false, count(func(h *Host) *int64 { return &h.Upstream.WeightRate }, "bytes", 0, 1024*gibibyte)},
	{"upstream", "model_size", "16GiB", false, count(func(h *Host) *int64 { return &h.Upstream.ModelSize }, "bytes", 1024, 16*1024*gibibyte)},
	{"upstream", "models_per_replica", "1", false, count(func(h *Host) *int64 { return &h.Upstream.ModelsPerReplica }, "models", 1, 1024)},

	{"limits", "body", "16MiB", false, count(func(h *Host) *int64 { return &h.Limits.MaxBody }, "bytes", 1024, gibibyte)},
	{"limits", "app_buffer", "1MiB", false, count(func(h *Host) *int64 { return &h.Limits.AppBuffer }, "bytes", 0, gibibyte)},
	{"limits", "header_timeout", "5s", false, duration(func(h *Host) *time.Duration { return &h.Limits.HeaderTimeout }, 100*time.Millisecond, time.Minute)},
	{"limits", "body_timeout", "30s", false, duration(func(h *Host) *time.Duration { return &h.Limits.BodyTimeout }, 100*time.Millisecond, time.Hour)},
	{"limits", "keep_alive", "2m", false, duration(func(h *Host) *time.Duration { return &h.Limits.KeepAlive }, time.Second, time.Hour)},
	{"limits", "write_timeout", "30s", false, duration(func(h *Host) *time.Duration { return &h.Limits.WriteTimeout }, 2*time.Second, time.Hour)},
	{"limits", "turn_timeout", "2m", false, duration(func(h *Host) *time.Duration { return &h.Limits.TurnTimeout }, time.Second, time.Hour)},
	{"limits", "queue_timeout", "1m", false, duration(func(h *Host) *time.Duration { return &h.Limits.QueueTimeout }, 100*time.Millisecond, time.Hour)},
	{"limits", "settle_timeout", "15s", false, duration(func(h *Host) *time.Duration { return &h.Limits.SettleTimeout }, time.Second, 10*time.Minute)},
	{"limits", "carry_timeout", "10m", false, duration(func(h *Host) *time.Duration { return &h.Limits.CarryTimeout }, time.Second, day)},
	// The owner waits 2 s before it allows another call to run (docs/design.md, 5.4).
	{"limits", "dispatch_window", "2s", false, duration(func(h *Host) *time.Duration { return &h.Limits.DispatchWindow }, 100*time.Millisecond, 2*time.Second)},
	{"limits", "stored_answer", "1MiB", false, count(func(h *Host) *int64 { return &h.Limits.StoredAnswerLimit }, "bytes", 1024, gibibyte)},
	{"limits", "default_max_tokens", "4096", false, count(func(h *Host) *int64 { return &h.Limits.DefaultMaxTokens }, "tokens", 1, 1<<24)},
	{"limits", "entry_hosts_ttl", "30s", false, duration(func(h *Host) *time.Duration { return &h.Limits.HostsTTL }, time.Second, time.Hour)},
	{"limits", "program_idle", "10m", false, duration(func(h *Host) *time.Duration { return &h.Limits.ProgramIdle }, time.Second, 30*day)},
	{"limits", "program_retention", "72h", false, duration(func(h *Host) *time.Duration { return &h.Limits.ProgramRetention }, time.Minute, 90*day)},
	{"limits", "claim_retention", "24h", false, duration(func(h *Host) *time.Duration { return &h.Limits.ClaimRetention }, time.Minute, 30*day)},
	{"limits", "lists_freshness", "3s", false, duration(func(h *Host) *time.Duration { return &h.Limits.ListsFreshness }, time.Second, 10*time.Second)},
	{"limits", "lists_stale", "5s", false, duration(func(h *Host) *time.Duration { return &h.Limits.ListsStale }, 0, 10*time.Second)},

	{"log", "format", "text", false, logFormat()},
	{"log", "level", "info", false, logLevel()},

	{"trace", "endpoint", "", true, optionalURL(func(h *Host) *string { return &h.TraceEndpoint })},
}

// Default returns the settings with the defaults of all keys. Keys without a default are left
// empty.
func Default() Host {
	var host Host
	for _, k := range keys {
		if k.defaultValue != "" && !k.set(&host, k.defaultValue) {
			panic("settings: invalid default of " + k.section + "." + k.name)
		}
	}
	return host
}
