// Package engine is a stand-in for a model engine. It implements the chat
// completions API and models the properties that matter to a scheduler:
// continuous batching with a limited number of slots, a prefill cost for tokens
// that are not in the prefix cache, a decode cost that grows with the batch size,
// and a prefix cache with limited memory.
//
// Request headers:
//
//   - X-Program is the decimal number of the program whose cache the call uses. It
//     is 0 or absent if there is none.
//   - X-Call-Id identifies the call for cancel orders and for resuming. The
//     response repeats it.
//   - X-Fence is the fencing token of the call. An engine that checks fencing
//     tokens rejects a token lower than one it has seen for the same program with
//     status 409 and code "stale_fence", and does not run the call.
//   - Last-Event-ID resumes an interrupted stream, together with its X-Call-Id. The
//     value is the last SSE event ID received. Event IDs are sent if
//     Settings.ResumeWindow is set and the call has an X-Call-Id; the ID is the
//     number of tokens sent so far. An unknown or expired call gets status 404 and
//     code "call_not_found".
//
// The body field "priority" orders the queue, with the lowest number first. The
// field "min_tokens" sets a minimum answer length, to which the engine pads
// shorter answers, so that a workload can control it.
//
// Answers are deterministic. They state the number of messages received and repeat
// the last user message. The text does not depend on the replica, whose ID is sent
// in system_fingerprint.
package engine
