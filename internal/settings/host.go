package settings

import (
	"time"

	"github.com/sirupsen/logrus"

	"cowslipgw/internal/structs"
)

// Host contains the settings of one host.
type Host struct {
	ID     structs.HostID
	Region structs.Region
	Domain structs.Domain
	// EntryAddress accepts connections from callers, AdminAddress from operators and
	// ControlAddress from other hosts. All are in the form "ip:port".
	EntryAddress   string
	AdminAddress   string
	ControlAddress string

	Platform Platform
	Upstream Upstream
	Limits   Limits
	Log      Log
	// TraceEndpoint is the URL of an OTLP/HTTP collector; empty disables the export of
	// traces.
	TraceEndpoint string
}

// Platform contains the "ip:port" addresses of the platform's services and the
// guarantees of the log service.
type Platform struct {
	Log      string
	HostList string
	// LogRetention is the minimum time for which the log service retains records.
	// Snapshots are appended four times in that period.
	LogRetention time.Duration
}

// Upstream contains the settings for connections to upstreams.
type Upstream struct {
	// Credential is the host's own bearer token; empty sends none.
	Credential string
	// FirstByte is the timeout for the start of an answer, Answer for a complete answer
	// that is not streamed, and Idle for the time between two events of a stream.
	FirstByte time.Duration
	Answer    time.Duration
	Idle      time.Duration
	// Poll and LoadPoll are the polling intervals for the host list and the load
	// reports.
	Poll     time.Duration
	LoadPoll time.Duration
	// AnswerLimit is the maximum size in bytes of an answer that is held in memory.
	AnswerLimit int64
	// WeightRate is the bandwidth of the weight store in bytes per second, shared by
	// the whole fleet; 0 disables load orders. ModelSize is the size of a model in
	// bytes.
	WeightRate int64
	ModelSize  int64
	// ModelsPerReplica is the number of models that an engine can hold at once.
	ModelsPerReplica int64
}

// Limits contains limits on requests and the retention times of state.
type Limits struct {
	// Body is the maximum size in bytes of a request body. AppBuffer is the number of
	// bytes of an app request that are buffered in memory before it is sent.
	Body      int64
	AppBuffer int64
	// Header and BodyRead are the timeouts for receiving a request's header and body.
	Header   time.Duration
	BodyRead time.Duration
	// KeepAlive is the idle timeout of a connection.
	KeepAlive time.Duration
	// Write is the timeout for a caller to accept one part of an answer.
	Write time.Duration
	// Begin is the timeout for a program's turn, Queue the timeout for a free replica.
	Begin time.Duration
	Queue time.Duration
	// Settle is how long a settlement is retried, whether or not the caller is still
	// connected.
	Settle time.Duration
	// Carry is the timeout for a claimed call whose caller has disconnected.
	Carry time.Duration
	// Window is how long after the program's owner began a call it may be sent upstream
	// without beginning it again (see docs/design.md, 5.4).
	Window time.Duration
	// Stored is the maximum size in bytes of an answer that is kept for retries.
	Stored int64
	// MaxTokens is the completion limit of a call that does not specify one.
	MaxTokens int64
	// HostsTTL is how long callers may cache the list of entry hosts.
	HostsTTL time.Duration
	// ProgramIdle is how long a program without calls keeps engine memory.
	ProgramIdle time.Duration
	// ProgramRetention is how long a program without calls keeps its history.
	ProgramRetention time.Duration
	// ClaimRetention is how long a finished idempotency claim is kept.
	ClaimRetention time.Duration
	// Freshness is the age up to which the host's lists count as current. Stale is how
	// much older they may be before keyed routes are refused.
	Freshness time.Duration
	Stale     time.Duration
}

// Log contains the settings of the host's log output.
type Log struct {
	JSON  bool
	Level logrus.Level
}
