// Package turns keeps what agent programs said: trees of turns, each of which
// continues another, and the tokens that a program has used of its budget.
//
// A program belongs to a partition of the store. One host, the home, decides for the
// partition: it holds the turns in memory and appends each change on condition that
// the partition has not grown meanwhile. Any host may act as home at any time; two
// homes at once cost conflicts, never a wrong decision. While the store does not
// answer, a home grants only what its records let it grant ahead.
package turns
