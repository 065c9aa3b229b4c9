package replica

// Work is what a request takes from a replica that runs a language model.
type Work struct {
	// PromptTokens is the size of the prompt. OwnTokens is the part of it that no other program
	// has, which is read again at any replica but the preferred one.
	PromptTokens int
	OwnTokens    int
	// ExpectedTokens is the caller's estimate of the tokens to generate, which is often far off;
	// 0 if there is none. MaxTokens is their maximum; 0 if it is unknown.
	ExpectedTokens int
	MaxTokens      int
	// TokensPerEvent is the number of tokens in a unit of the answer; 0 for plain services.
	TokensPerEvent int
	// CacheTokens is the memory of a replica; 0 if it is unknown.
	CacheTokens int
}
