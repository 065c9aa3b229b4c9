package app

// Run counts how often the requests with one idempotency key, method and path
// really ran. It is an element of the answer to GET /_runs.
type Run struct {
	Key    string `json:"key"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Runs   int    `json:"runs"`
}

// runKey identifies a Run.
type runKey struct {
	key, method, path string
}
