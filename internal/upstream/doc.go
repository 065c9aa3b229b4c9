// Package upstream provides the client for engines and app services, and a directory of
// the upstreams in the host list.
package upstream
