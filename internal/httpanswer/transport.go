package httpanswer

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
)

// Transport is an http.RoundTripper that returns only answers that follow the protocol. A body of such an answer ends
// with io.EOF only if it is complete.
type Transport struct{ base *http.Transport }

// NewTransport returns a transport for http URLs that uses base, which must have a DialContext and no connections. Its
// connections are *Conn, also in the hooks of package httptrace.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(raw), nil
	}
	return &Transport{base: base}
}

// CloseIdleConnections closes the connections without a request.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// RoundTrip implements http.RoundTripper. The error for an answer that does not follow the protocol wraps ErrInvalid.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var used *Conn
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		used = info.Conn.(*Conn)
		used.ExpectAnswer()
	}})
	response, err := t.base.RoundTrip(r.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := used.HeadErr(); err != nil {
		// The errors are ignored: the answer is given up.
		_ = used.Close()
		_ = response.Body.Close()
		return nil, err
	}
	response.Body = &checkedBody{ReadCloser: response.Body, response: response}
	return response, nil
}

// checkedBody is a body whose trailer is checked at its end.
type checkedBody struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if invalid := CheckTrailer(b.response.Trailer); invalid != nil {
			err = invalid
		}
	}
	return n, err
}
