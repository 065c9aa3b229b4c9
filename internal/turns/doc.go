// Package turns stores the conversation history of agent programs as trees of turns, each
// of which continues another one, and the tokens that a program has used of its budget.
//
// Each program belongs to one partition of the store. One host, the owner, decides for a
// partition: it holds the turns in memory and appends every change on condition that the
// partition has not grown since its last read. Any host may act as owner at any time; two
// concurrent owners cause append conflicts but never a wrong decision. While the store is
// unavailable, an owner grants only tokens that its earlier records preallocated.
package turns
