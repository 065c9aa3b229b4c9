// Package forward sends requests to upstream replicas over persistent connections and
// reads their answers. It never retries a request by itself, and its errors tell whether
// the replica may have received the request.
package forward
