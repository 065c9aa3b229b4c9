package entry

import "net/http"

// statusRecorder remembers the status of an answer.
type statusRecorder struct {
	http.ResponseWriter

	status int
}

// WriteHeader records the first final status.
func (r *statusRecorder) WriteHeader(status int) {
	if r.status == 0 && status >= http.StatusOK {
		r.status = status
	}
	r.ResponseWriter.WriteHeader(status)
}

// Write records 200 if no status was set.
func (r *statusRecorder) Write(b []byte) (int, error) {
	if r.status == 0 {
		r.status = http.StatusOK
	}
	return r.ResponseWriter.Write(b)
}

// Unwrap lets http.ResponseController reach the connection.
func (r *statusRecorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }
