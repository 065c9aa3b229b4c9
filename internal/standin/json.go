package standin

import (
	"encoding/json"
	"errors"
	"net/http"
)

// maxBodyBytes limits the size of a request body. A message history of 270,000
// tokens takes about 1 MiB.
const maxBodyBytes = 16 << 20

// WriteJSON sends a response with the given status and value encoded as JSON.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// ReadJSON decodes the request body into value. On failure it sends a 400 or 413
// response and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, value any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(value)
	if err == nil {
		return true
	}
	status := http.StatusBadRequest
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		status = http.StatusRequestEntityTooLarge
	}
	WriteError(w, status, "invalid_request", err.Error())
	return false
}

// WriteError sends an error response in the format of the chat completions API.
func WriteError(w http.ResponseWriter, status int, code, message string) {
	type detail struct {
		Message string `json:"message"`
		Type    string `json:"type"`
		Code    string `json:"code"`
	}
	WriteJSON(w, status, map[string]detail{"error": {Message: message, Type: code, Code: code}})
}
