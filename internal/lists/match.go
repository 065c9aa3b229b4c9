package lists

import (
	"net/http"
	"net/url"
	"path"
	"sort"
	"strings"

	"cowslipgw/internal/structs"
)

// methods are the HTTP methods that a route can list.
var methods = map[string]bool{
	http.MethodGet: true, http.MethodHead: true, http.MethodPost: true, http.MethodPut: true,
	http.MethodPatch: true, http.MethodDelete: true, http.MethodOptions: true,
}

// Match is the outcome of looking for a request's route.
type Match int

const (
	// MatchNone means that no route of the pool covers the path.
	MatchNone Match = iota
	// MatchFound means that the route covers path and method.
	MatchFound
	// MatchMethod means that the longest path matches and its routes do not allow the
	// method.
	MatchMethod
	// MatchBadPath means that the path could mean different things to different
	// servers and is refused.
	MatchBadPath
)

// MatchRoute finds the route of a request. escaped is the path below /apps/{pool} as
// the request line has it. The longest path that covers the request decides: if its
// routes do not allow the method, a shorter path is not tried, so that a broad open
// route never opens a narrow closed one. The caller sends the cleaned path upstream,
// which is the one that was matched.
func (l *Lists) MatchRoute(pool structs.PoolName, method, escaped string) (route Route, cleaned string, match Match) {
	cleaned, ok := CleanPath(escaped)
	if !ok {
		return Route{}, "", MatchBadPath
	}
	decoded, _ := url.PathUnescape(cleaned)
	longest := -1
	for _, candidate := range l.byPool[pool] {
		if len(candidate.Path) < longest {
			break
		}
		if !covers(candidate.Path, decoded) {
			continue
		}
		longest = len(candidate.Path)
		match = MatchMethod
		if candidate.allows(method) {
			return candidate, cleaned, MatchFound
		}
	}
	return Route{}, cleaned, match
}

// CleanPath returns an escaped path without empty and dot segments, and without a
// trailing slash. It refuses paths with encoded slashes, backslashes, dot segments or
// control characters, and paths that are still escaped after decoding, because an
// upstream may decode them to another path than the one that was matched.
func CleanPath(escaped string) (string, bool) {
	if escaped == "" {
		return "/", true
	}
	if escaped[0] != '/' {
		return "", false
	}
	decoded, err := url.PathUnescape(escaped)
	if err != nil || strings.ContainsAny(decoded, "\\;") || stillEscaped(decoded) {
		return "", false
	}
	for _, r := range decoded {
		if r < ' ' || r == 0x7f {
			return "", false
		}
	}
	if strings.Count(decoded, "/") != strings.Count(escaped, "/") {
		return "", false
	}
	raw := strings.Split(escaped, "/")
	for i, segment := range strings.Split(decoded, "/") {
		if (segment == "." || segment == "..") && raw[i] != segment {
			return "", false
		}
	}
	return path.Clean(escaped), true
}

// stillEscaped reports whether a decoded path contains another escape.
func stillEscaped(decoded string) bool {
	for i := 0; i+2 < len(decoded); i++ {
		if decoded[i] == '%' && isHex(decoded[i+1]) && isHex(decoded[i+2]) {
			return true
		}
	}
	return false
}

// isHex reports whether c is a hexadecimal digit.
func isHex(c byte) bool {
	return c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F'
}

// covers reports whether prefix is path or one of its parent directories.
func covers(prefix, path string) bool {
	if prefix == "/" || prefix == path {
		return true
	}
	return strings.HasPrefix(path, prefix+"/")
}

// allows reports whether the route lists the method.
func (r Route) allows(method string) bool {
	if len(r.Methods) == 0 {
		return true
	}
	for _, allowed := range r.Methods {
		if allowed == method {
			return true
		}
	}
	return false
}

// buildRoutes orders the routes of each pool by length of path, longest first.
func (l *Lists) buildRoutes() {
	l.byPool = make(map[structs.PoolName][]Route)
	for _, name := range sortedKeys(l.Routes) {
		route := l.Routes[name]
		l.byPool[route.Pool] = append(l.byPool[route.Pool], route)
	}
	for _, routes := range l.byPool {
		sort.SliceStable(routes, func(i, j int) bool {
			return len(routes[i].Path) > len(routes[j].Path)
		})
	}
}
