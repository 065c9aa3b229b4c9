// Package httpanswer keeps broken answers from being taken for answers of the HTTP/1 protocol. Package net/http
// reads more than the protocol allows, and the kernel hides some resets of connections from it.
package httpanswer
