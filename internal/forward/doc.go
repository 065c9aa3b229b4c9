// Package forward sends requests to upstream replicas over kept connections and reads
// their answers. It never repeats a request by itself and always says how much of one
// may have reached the replica.
package forward
