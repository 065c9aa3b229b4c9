package gateway

import (
	"net/http"
	"time"
)

// Call is a caller's request as decoded by a Codec. Header contains the headers that are
// forwarded to the replica.
type Call struct {
	ID     string
	Key    string
	Method string
	// URI is the path and query as received; Path is the decoded path.
	URI     string
	Path    string
	Host    string
	Header  http.Header
	HasBody bool
	// Timeout is how long the caller waits for the answer; 0 if it sent no timeout.
	Timeout time.Duration
	// Program is the ID of the agent program; empty outside of programs.
	Program string
	// ProgramTime is the time until the program should be finished, which may be negative;
	// HasProgramTime is set if the caller sent it.
	ProgramTime    time.Duration
	HasProgramTime bool
	// Session names the sequence of turns within the program.
	Session string
	// Affinity is the key of requests about the same object; empty if the caller sent none.
	Affinity string
	// PreviousTurn is the ID of the turn that this turn continues.
	PreviousTurn string
	// Budget is the number of tokens that the program may generate; 0 means no limit.
	Budget int
	// PromptTokens is the size of the prompt, MaxTokens the maximum number of tokens to
	// generate.
	PromptTokens int
	// SharedTokens is the size of the part of the prompt that many programs have in common.
	SharedTokens int
	MaxTokens    int
	// ExpectedTokens is the caller's estimate of the number of tokens to generate, which is
	// often far off; 0 if it sent none.
	ExpectedTokens int
}
