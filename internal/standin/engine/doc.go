// Package engine is a stand-in for a model engine. It speaks the chat completions
// protocol and models what matters to a scheduler: continuous batching with a
// limited number of slots, prefill cost for tokens that are not in the prefix
// cache, decode cost that grows with the batch, and a prefix cache in limited
// memory.
//
// Request headers:
//
//   - X-Program is the decimal number of the program whose cache the call uses; 0
//     or absent for none.
//   - X-Call-Id names the call for cancel orders and for resuming. The answer
//     repeats it.
//   - X-Fence is the fencing number of the call. An engine that checks it refuses
//     a number lower than one it saw for the same program with 409, code
//     "stale_fence", and does not run the call.
//   - Last-Event-ID, together with the X-Call-Id of a stream that broke, resumes the
//     stream. Its value is the last SSE event ID that arrived. Event IDs are sent
//     when Settings.ResumeWindow is set and the call has an X-Call-Id; the ID is the
//     number of tokens sent so far. An unknown or expired call gets 404, code
//     "call_not_found".
//
// The body member "priority" orders the queue, the lowest number first. The
// member "min_tokens" pads the answer, so that a workload sets its length.
//
// Answers are deterministic. They say how many messages the engine saw and
// repeat the last user message. Their text does not depend on the replica, which
// is named in system_fingerprint.
package engine
