// Package intake bounds what connections to a host cost before their requests are admitted: the
// number of connections, the time and size of a request's head, and the memory that heads take up
// once net/http has parsed them. A head reaches net/http only when it is complete, well-formed and paid for.
package intake
