package entry

import "net/http"

// statusRecorder records the status of a response.
type statusRecorder struct {
	http.ResponseWriter

	status int
}

// WriteHeader records the first status that is not informational (1xx).
func (r *statusRecorder) WriteHeader(status int) {
	if r.status == 0 && status >= http.StatusOK {
		r.status = status
	}
	r.ResponseWriter.WriteHeader(status)
}

// Write records status 200 if WriteHeader has not been called.
func (r *statusRecorder) Write(b []byte) (int, error) {
	if r.status == 0 {
		r.status = http.StatusOK
	}
	return r.ResponseWriter.Write(b)
}

// Unwrap gives http.ResponseController access to the underlying ResponseWriter.
func (r *statusRecorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }
