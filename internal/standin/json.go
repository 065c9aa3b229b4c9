package standin

import (
	"encoding/json"
	"errors"
	"net/http"
)

// maxBody bounds the body of a JSON request. A history of 270,000 tokens takes
// about 1 MiB.
const maxBody = 16 << 20

// WriteJSON answers with a JSON document.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// ReadJSON decodes the body into value. It answers 400 or 413 and returns false
// when that fails.
func ReadJSON(w http.ResponseWriter, r *http.Request, value any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(value)
	if err == nil {
		return true
	}
	status := http.StatusBadRequest
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) {
		status = http.StatusRequestEntityTooLarge
	}
	WriteError(w, status, "invalid_request", err.Error())
	return false
}

// WriteError answers with an error in the form of the chat completions protocol.
func WriteError(w http.ResponseWriter, status int, code, message string) {
	type detail struct {
		Message string `json:"message"`
		Type    string `json:"type"`
		Code    string `json:"code"`
	}
	WriteJSON(w, status, map[string]detail{"error": {Message: message, Type: code, Code: code}})
}
