package upstream

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHopHeaders are the headers that apply to a single connection (RFC 9110, 7.6.1).
var hopByHopHeaders = []string{
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

// privateHeaders are the caller's headers that must not reach an upstream, and the
// headers that only a host may set.
var privateHeaders = []string{
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

// CleanRequestHeader returns a copy of a caller's headers without hop-by-hop headers, the
// caller's credentials and the headers that only a host may set.
func CleanRequestHeader(header http.Header) http.Header {
	cleaned := dropHopByHop(header)
	for _, name := range privateHeaders {
		cleaned.Del(name)
	}
	for name := range cleaned {
		if strings.HasPrefix(name, "Cowslip-") {
			delete(cleaned, name)
		}
	}
	return cleaned
}

// CleanResponseHeader returns a copy of an upstream's headers without hop-by-hop headers and
// the headers of the host's own protocol with the upstream.
func CleanResponseHeader(header http.Header) http.Header {
	cleaned := dropHopByHop(header)
	for _, name := range []string{headerProgram, headerFence, headerCall} {
		cleaned.Del(name)
	}
	return cleaned
}

// dropHopByHop returns a copy of the headers without the hop-by-hop headers, including
// those listed in the Connection header.
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
	for _, name := range hopByHopHeaders {
		cleaned.Del(name)
	}
	return cleaned
}
