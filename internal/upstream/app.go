package upstream

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"
)

// AppRequest is a request to an app service.
type AppRequest struct {
	Method string
	// Path is the escaped path and RawQuery the query string.
	Path     string
	RawQuery string
	// Header is the caller's header. CleanRequestHeader is applied to it before it is sent.
	Header http.Header
	// Body may be nil. ContentLength is -1 if the length of the body is unknown.
	Body          io.Reader
	ContentLength int64
	Call          CallHeader
}

// AppResponse is the response of an app service.
type AppResponse struct {
	Status int
	Header http.Header
	// Body returns io.EOF only after the complete response was read.
	Body io.ReadCloser
	// ContentLength is -1 if the length of the body is unknown.
	ContentLength int64
}

// App sends a request to an app service and returns when the response header has
// arrived. The caller must close the body. It returns the same errors as Chat except
// *StatusError, since responses are returned whatever their status.
func (c *Client) App(ctx context.Context, address string, request AppRequest) (*AppResponse, error) {
	requestCtx, cancel := context.WithCancelCause(ctx)
	outgoing, err := c.newAppRequest(requestCtx, address, request)
	if err != nil {
		cancel(err)
		return nil, err
	}
	watchdog := time.AfterFunc(c.options.FirstByteTimeout, func() { cancel(ErrTimeout) })
	response, err := c.send(requestCtx, outgoing)
	inTime := watchdog.Stop()
	if err == nil {
		err = checkAppResponse(response, request, inTime)
		if err != nil {
			_ = response.Body.Close()
		}
	}
	if err != nil {
		cancel(err)
		return nil, c.classifySendError(ctx, err)
	}
	return &AppResponse{
		Status:        response.StatusCode,
		Header:        CleanResponseHeader(response.Header),
		Body:          &appBody{body: response.Body, parent: ctx, cancel: cancel},
		ContentLength: response.ContentLength,
	}, nil
}

// checkAppResponse validates the header of an app's response.
func checkAppResponse(response *http.Response, request AppRequest, inTime bool) error {
	if !inTime {
		return ErrTimeout
	}
	if response.StatusCode == http.StatusSwitchingProtocols {
		return fmt.Errorf("%w: upstream switched protocols", ErrIncompleteAnswer)
	}
	if err := checkCallID(response, request.Call.Call); err != nil {
		return err
	}
	if request.Method != http.MethodHead && !framed(response) {
		return fmt.Errorf("%w: response has neither Content-Length nor chunked encoding", ErrIncompleteAnswer)
	}
	return nil
}

// newAppRequest builds the request to an app service.
func (c *Client) newAppRequest(ctx context.Context, address string, request AppRequest) (*http.Request, error) {
	path, err := url.PathUnescape(request.Path)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	target := &url.URL{Scheme: "http", Host: address, Path: path, RawPath: request.Path, RawQuery: request.RawQuery}
	outgoing, err := http.NewRequestWithContext(ctx, request.Method, "http://"+address, request.Body)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	outgoing.URL = target
	outgoing.Header = CleanRequestHeader(request.Header)
	if request.Body != nil {
		outgoing.ContentLength = request.ContentLength
	}
	if _, present := outgoing.Header["User-Agent"]; !present {
		// An empty value prevents net/http from setting its default.
		outgoing.Header.Set("User-Agent", "")
	}
	c.setCallHeaders(ctx, outgoing.Header, request.Call)
	return outgoing, nil
}

// appBody is the body of an app's response.
type appBody struct {
	body   io.ReadCloser
	parent context.Context
	cancel context.CancelCauseFunc
}

// Read reads from the body and classifies errors.
func (b *appBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if err != nil && err != io.EOF {
		err = classifyError(b.parent, err)
	}
	return n, err
}

// Close closes the body and cancels the request if it is still running.
func (b *appBody) Close() error {
	err := b.body.Close()
	b.cancel(context.Canceled)
	return err
}
