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
	// FirstByteTimeout is the timeout for the start of an answer, AnswerTimeout for a
	// complete answer that is not streamed, and StreamIdleTimeout for the time between two
	// events of a stream.
	FirstByteTimeout  time.Duration
	AnswerTimeout     time.Duration
	StreamIdleTimeout time.Duration
	// PollInterval and LoadPollInterval are the polling intervals for the host list and the
	// load reports.
	PollInterval     time.Duration
	LoadPollInterval time.Duration
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
	// MaxBody is the maximum size in bytes of a request body. AppBuffer is the number of
	// bytes of an app request that are buffered in memory before it is sent.
	MaxBody   int64
	AppBuffer int64
	// HeaderTimeout and BodyTimeout are the timeouts for receiving a request's header and
	// body.
	HeaderTimeout time.Duration
	BodyTimeout   time.Duration
	// KeepAlive is the idle timeout of a connection.
	KeepAlive time.Duration
	// WriteTimeout is the timeout for a caller to accept one part of an answer.
	WriteTimeout time.Duration
	// TurnTimeout limits the wait for a program's turn, QueueTimeout the wait for a free
	// replica.
	TurnTimeout  time.Duration
	QueueTimeout time.Duration
	// SettleTimeout is how long a settlement is retried, whether or not the caller is still
	// connected.
	SettleTimeout time.Duration
	// CarryTimeout is the timeout for a claimed call whose caller has disconnected.
	CarryTimeout time.Duration
	// DispatchWindow is the time after the start of a call at the program's owner within
	// which the call may be sent upstream; afterwards it must be started again (see
	// docs/design.md, 5.4).
	DispatchWindow time.Duration
	// StoredAnswerLimit is the maximum size in bytes of an answer that is kept for retries.
	StoredAnswerLimit int64
	// DefaultMaxTokens is the completion limit of a call that does not specify one.
	DefaultMaxTokens int64
	// HostsTTL is how long callers may cache the list of entry hosts.
	HostsTTL time.Duration
	// ProgramIdle is how long a program without calls keeps engine memory.
	ProgramIdle time.Duration
	// ProgramRetention is how long a program without calls keeps its history.
	ProgramRetention time.Duration
	// ClaimRetention is how long a finished idempotency claim is kept.
	ClaimRetention time.Duration
	// ListsFreshness is the age up to which the host's lists count as current. ListsStale is
	// how much older they may be before keyed routes are refused.
	ListsFreshness time.Duration
	ListsStale     time.Duration
}

// Log contains the settings of the host's log output.
type Log struct {
	JSON  bool
	Level logrus.Level
}
