package lists

import (
	"net/http"
	"net/url"
	"path"
	"sort"
	"strings"

	"cowslipgw/internal/structs"
)

// methods are the HTTP methods that a route may list.
var methods = map[string]bool{
	http.MethodGet: true, http.MethodHead: true, http.MethodPost: true, http.MethodPut: true,
	http.MethodPatch: true, http.MethodDelete: true, http.MethodOptions: true,
}

// Match is the result of a route lookup.
type Match int

const (
	// MatchNone means that no route of the pool matches the path.
	MatchNone Match = iota
	// MatchFound means that a route matches the path and allows the method.
	MatchFound
	// MatchMethodNotAllowed means that the routes with the longest matching path do not
	// allow the method.
	MatchMethodNotAllowed
	// MatchInvalidPath means that the path is rejected because servers could interpret it
	// in different ways.
	MatchInvalidPath
)

// MatchRoute returns the route of a request. escaped is the path below /apps/{pool} as
// it appears in the request line. Only routes with the longest matching path are
// considered: if they do not allow the method, shorter paths are not tried, so that an
// open route cannot expose a closed route below it. The caller must send the returned
// cleaned path upstream, because that is the path that was matched.
func (l *Lists) MatchRoute(pool structs.PoolName, method, escaped string) (route Route, cleaned string, match Match) {
	cleaned, ok := CleanPath(escaped)
	if !ok {
		return Route{}, "", MatchInvalidPath
	}
	decoded, _ := url.PathUnescape(cleaned)
	longest := -1
	for _, candidate := range l.byPool[pool] {
		if len(candidate.Path) < longest {
			break
		}
		if !isPathPrefix(candidate.Path, decoded) {
			continue
		}
		longest = len(candidate.Path)
		match = MatchMethodNotAllowed
		if candidate.allows(method) {
			return candidate, cleaned, MatchFound
		}
	}
	return Route{}, cleaned, match
}

// CleanPath returns an escaped path without empty segments, dot segments and trailing
// slash. It rejects paths with encoded slashes or dot segments, backslashes, semicolons
// or control characters, and paths that still contain an escape after decoding, because
// an upstream may decode them to a path other than the one that was matched.
func CleanPath(escaped string) (string, bool) {
	if escaped == "" {
		return "/", true
	}
	if escaped[0] != '/' {
		return "", false
	}
	decoded, err := url.PathUnescape(escaped)
	if err != nil || strings.ContainsAny(decoded, "\\;") || hasEscape(decoded) {
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

// hasEscape reports whether a decoded path still contains a percent escape.
func hasEscape(decoded string) bool {
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

// isPathPrefix reports whether prefix equals path or is one of its parent directories.
func isPathPrefix(prefix, path string) bool {
	if prefix == "/" || prefix == path {
		return true
	}
	return strings.HasPrefix(path, prefix+"/")
}

// allows reports whether the route accepts the method.
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

// indexRoutes groups the routes by pool and sorts each group by path length, longest
// first.
func (l *Lists) indexRoutes() {
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
