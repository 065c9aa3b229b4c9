package gateway

import (
	"net/http"
	"strings"
)

// hopByHopHeaders apply to a single connection only and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// copyEndToEnd copies the headers of a replica's answer to a response, except hop-by-hop headers.
func copyEndToEnd(response, answer http.Header) {
	for name, values := range EndToEnd(answer) {
		response[name] = values
	}
	if _, typed := response["Content-Type"]; !typed {
		response["Content-Type"] = nil // prevents net/http from detecting one
	}
}

// EndToEnd returns a copy of h without hop-by-hop headers.
func EndToEnd(h http.Header) http.Header {
	kept := h.Clone()
	for _, value := range h["Connection"] {
		for _, name := range strings.Split(value, ",") {
			kept.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		kept.Del(name)
	}
	return kept
}
