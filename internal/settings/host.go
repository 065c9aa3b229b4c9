package settings

import (
	"time"

	"github.com/sirupsen/logrus"

	"cowslipgw/internal/structs"
)

// Host are the settings of one host.
type Host struct {
	ID     structs.HostID
	Region structs.Region
	Domain structs.Domain
	// EntryAddress is where callers connect, AdminAddress where operators do,
	// ControlAddress where other hosts do, each as "ip:port".
	EntryAddress   string
	AdminAddress   string
	ControlAddress string

	Platform Platform
	Upstream Upstream
	Limits   Limits
	Log      Log
	// TraceEndpoint is the URL of an OTLP/HTTP collector; empty exports nothing.
	TraceEndpoint string
}

// Platform says where the platform's services are, as "ip:port", and what the log
// promises.
type Platform struct {
	Log      string
	HostList string
	// LogRetention is how long the log service keeps records at the least. Snapshots are
	// appended four times in that time.
	LogRetention time.Duration
}

// Upstream says how the host talks to upstreams.
type Upstream struct {
	// Credential is the host's own bearer token; empty sends none.
	Credential string
	// FirstByte bounds the wait for the start of an answer, Answer the wait for a whole
	// answer that is not streamed, Idle the time between two events of a stream.
	FirstByte time.Duration
	Answer    time.Duration
	Idle      time.Duration
	// Poll and LoadPoll are the intervals of reading the host list and load reports.
	Poll     time.Duration
	LoadPoll time.Duration
	// AnswerLimit bounds an answer that is held in memory, in bytes.
	AnswerLimit int64
	// WeightRate is what the weight store sends in bytes a second to the whole fleet; 0
	// gives no load orders. ModelSize is the size of a model in bytes.
	WeightRate int64
	ModelSize  int64
	// ModelsPerReplica is how many models an engine holds at once.
	ModelsPerReplica int64
}

// Limits bound what callers can make the host do, and how long state is kept.
type Limits struct {
	// Body bounds a request body in bytes, AppBuffer the part of an app's request that is
	// held in memory before it is sent.
	Body      int64
	AppBuffer int64
	// Header and BodyRead bound how long a caller takes to send them.
	Header   time.Duration
	BodyRead time.Duration
	// KeepAlive bounds how long a connection may be idle.
	KeepAlive time.Duration
	// Write bounds how long a caller takes to accept one part of an answer.
	Write time.Duration
	// Begin bounds the wait for a program's turn, Queue the wait for a replica.
	Begin time.Duration
	Queue time.Duration
	// Settle bounds how long a settlement is tried, whether or not the caller is there.
	Settle time.Duration
	// Carry bounds a claimed call whose caller has gone.
	Carry time.Duration
	// Window is how long after Begin a call may be sent (see docs/design.md, 5.4).
	Window time.Duration
	// Stored bounds an answer that is kept for retries, in bytes.
	Stored int64
	// MaxTokens is the completion limit of a call that names none.
	MaxTokens int64
	// HostsTTL is how long callers may keep the list of entry hosts.
	HostsTTL time.Duration
	// ProgramIdle is how long a program without calls keeps engine memory.
	ProgramIdle time.Duration
	// ProgramRetention is how long a program without calls keeps its history.
	ProgramRetention time.Duration
	// ClaimRetention is how long a finished idempotency claim is kept.
	ClaimRetention time.Duration
	// Freshness is how old the host's knowledge of the lists may be, and Stale how long
	// it may be older before keyed routes are refused.
	Freshness time.Duration
	Stale     time.Duration
}

// Log says how the host writes its log.
type Log struct {
	JSON  bool
	Level logrus.Level
}
