package app

// RunCount counts the executions of requests with the same idempotency key, method and
// path. It is an element of the response to GET /_runs.
type RunCount struct {
	Key    string `json:"key"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Runs   int    `json:"runs"`
}

// runKey identifies the requests that one RunCount counts.
type runKey struct {
	key, method, path string
}
