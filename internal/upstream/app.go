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
	// Path is the escaped path and RawQuery the query.
	Path     string
	RawQuery string
	// Header is the caller's; it is cleaned before it is sent.
	Header http.Header
	// Body may be nil. ContentLength is -1 for a body of unknown length.
	Body          io.Reader
	ContentLength int64
	Call          CallHeader
}

// AppResponse is the answer of an app service.
type AppResponse struct {
	Status int
	Header http.Header
	// Body ends with io.EOF only if the answer is whole.
	Body io.ReadCloser
	// ContentLength is -1 for a body of unknown length.
	ContentLength int64
}

// App sends a request to an app service and returns once the answer's header is
// there. The caller closes the body. Errors are those of Chat but *StatusError:
// every status is an answer.
func (c *Client) App(ctx context.Context, address string, request AppRequest) (*AppResponse, error) {
	limited, cancel := context.WithCancelCause(ctx)
	outgoing, err := c.newApp(limited, address, request)
	if err != nil {
		cancel(err)
		return nil, err
	}
	watch := time.AfterFunc(c.options.FirstByte, func() { cancel(ErrTimeout) })
	response, err := c.send(limited, outgoing)
	stopped := watch.Stop()
	if err == nil {
		err = checkApp(response, request, stopped)
		if err != nil {
			_ = response.Body.Close()
		}
	}
	if err != nil {
		cancel(err)
		return nil, c.sendError(ctx, err)
	}
	return &AppResponse{
		Status:        response.StatusCode,
		Header:        CleanResponse(response.Header),
		Body:          &appBody{body: response.Body, parent: ctx, cancel: cancel},
		ContentLength: response.ContentLength,
	}, nil
}

// checkApp checks the header of an app's answer.
func checkApp(response *http.Response, request AppRequest, inTime bool) error {
	if !inTime {
		return ErrTimeout
	}
	if response.StatusCode == http.StatusSwitchingProtocols {
		return fmt.Errorf("%w: the upstream switched protocols", ErrCutShort)
	}
	if err := checkCall(response, request.Call.Call); err != nil {
		return err
	}
	if request.Method != http.MethodHead && !framed(response) {
		return fmt.Errorf("%w: the answer has neither Content-Length nor chunks", ErrCutShort)
	}
	return nil
}

// newApp builds the request towards an app service.
func (c *Client) newApp(ctx context.Context, address string, request AppRequest) (*http.Request, error) {
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
	outgoing.Header = CleanRequest(request.Header)
	if request.Body != nil {
		outgoing.ContentLength = request.ContentLength
	}
	if _, named := outgoing.Header["User-Agent"]; !named {
		// An empty value keeps net/http from adding its own.
		outgoing.Header.Set("User-Agent", "")
	}
	c.apply(ctx, outgoing.Header, request.Call)
	return outgoing, nil
}

// appBody is the body of an app's answer.
type appBody struct {
	body   io.ReadCloser
	parent context.Context
	cancel context.CancelCauseFunc
}

// Read reads and classifies errors.
func (b *appBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if err != nil && err != io.EOF {
		err = classify(b.parent, err)
	}
	return n, err
}

// Close ends the answer; the app sees a cancelled request if it still runs.
func (b *appBody) Close() error {
	err := b.body.Close()
	b.cancel(context.Canceled)
	return err
}
