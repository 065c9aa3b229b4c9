package gateway

import (
	"net/http"
	"time"
)

// Call is a caller's request. Header holds what is passed on to the replica.
type Call struct {
	ID     string
	Key    string
	Method string
	// URI is the path and query as sent; Path the decoded path.
	URI     string
	Path    string
	Host    string
	Header  http.Header
	HasBody bool
	// Patience is how long the caller waits; 0 if it did not say.
	Patience time.Duration
	// Program names the agent program; empty outside of programs.
	Program string
	// Previous names the turn that this turn continues.
	Previous string
	// Budget is the number of tokens that the program may generate; 0 means no limit.
	Budget int
	// PromptTokens and MaxTokens are the size of the prompt and the most that is
	// generated.
	PromptTokens int
	MaxTokens    int
}
