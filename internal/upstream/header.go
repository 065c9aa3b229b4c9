package upstream

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHop are the headers that concern one connection only (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}

// private are the headers of a caller that no upstream sees, and those that only
// a host may set.
var private = []string{
	"Authorization",
	"Api-Key",
	"X-Api-Key",
	"Expect",
	"Forwarded",
	"Host",
	"Traceparent",
	"Tracestate",
	"X-Forwarded-For",
	"X-Forwarded-Host",
	"X-Forwarded-Proto",
	headerProgram,
	headerFence,
	headerCall,
	"Idempotency-Key",
}

// CleanRequest returns a copy of a caller's headers without those that concern
// the caller's connection, its key, or that only a host sets.
func CleanRequest(header http.Header) http.Header {
	cleaned := dropHopByHop(header)
	for _, name := range private {
		cleaned.Del(name)
	}
	for name := range cleaned {
		if strings.HasPrefix(name, "Cowslip-") {
			delete(cleaned, name)
		}
	}
	return cleaned
}

// CleanResponse returns a copy of an upstream's headers without those that
// concern its connection or the host's own protocol with it.
func CleanResponse(header http.Header) http.Header {
	cleaned := dropHopByHop(header)
	for _, name := range []string{headerProgram, headerFence, headerCall} {
		cleaned.Del(name)
	}
	return cleaned
}

// dropHopByHop copies all headers but those of one connection, which includes
// those that Connection names.
func dropHopByHop(header http.Header) http.Header {
	cleaned := header.Clone()
	if cleaned == nil {
		cleaned = make(http.Header)
	}
	for _, value := range header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			if name = textproto.TrimString(name); name != "" {
				cleaned.Del(name)
			}
		}
	}
	for _, name := range hopByHop {
		cleaned.Del(name)
	}
	return cleaned
}
