package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"time"
)

// chatPath is the path of chat completions at an engine.
const chatPath = "/v1/chat/completions"

// newChatRequest builds a chat completion request.
func (c *Client) newChatRequest(ctx context.Context, address string, call CallHeader, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+chatPath, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("User-Agent", "cowslipgw")
	c.setCallHeaders(ctx, request.Header, call)
	return request, nil
}

// Chat sends a request without streaming and returns the complete answer. Its errors
// are ErrNotSent, ErrTimeout, ErrIncompleteAnswer, ErrAnswerMismatch, ErrAnswerTooLong,
// ErrStaleFence, another *StatusError, and the cause of ctx.
func (c *Client) Chat(ctx context.Context, address string, call CallHeader, body []byte) (*Answer, error) {
	requestCtx, cancel := context.WithTimeoutCause(ctx, c.options.AnswerTimeout, ErrTimeout)
	defer cancel()
	request, err := c.newChatRequest(requestCtx, address, call, body)
	if err != nil {
		return nil, err
	}
	response, err := c.send(requestCtx, request)
	if err != nil {
		return nil, c.classifySendError(ctx, err)
	}
	defer response.Body.Close()
	if err := checkCallID(response, call.Call); err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, fenceError(statusError(response))
	}
	answer, err := c.readAnswer(response)
	if err != nil {
		return nil, classifyError(ctx, causeOr(requestCtx, err))
	}
	return answer, nil
}

// classifySendError returns ErrNotSent unchanged and classifies other errors.
func (c *Client) classifySendError(ctx context.Context, err error) error {
	if errors.Is(err, ErrNotSent) {
		return err
	}
	return classifyError(ctx, err)
}

// readAnswer reads and validates an answer that is not streamed.
func (c *Client) readAnswer(response *http.Response) (*Answer, error) {
	if !framed(response) {
		return nil, fmt.Errorf("%w: response has neither Content-Length nor chunked encoding", ErrIncompleteAnswer)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, c.options.AnswerLimit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > c.options.AnswerLimit {
		return nil, ErrAnswerTooLong
	}
	var wire wireAnswer
	if err := json.Unmarshal(body, &wire); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrIncompleteAnswer, err)
	}
	if len(wire.Choices) != 1 || wire.Choices[0].FinishReason == "" {
		return nil, fmt.Errorf("%w: answer has no finish_reason", ErrIncompleteAnswer)
	}
	answer := &Answer{Body: body, Message: wire.Choices[0].Message, FinishReason: wire.Choices[0].FinishReason}
	if wire.Usage != nil {
		answer.Usage = wire.Usage.usage()
	}
	return answer, nil
}

// framed reports whether the response has message framing, so that its end can be
// distinguished from a lost connection.
func framed(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// ChatStream sends a streaming request and returns when the response header has
// arrived. The caller must close the stream. It returns the same errors as Chat.
func (c *Client) ChatStream(ctx context.Context, address string, call CallHeader, body []byte) (*ChatStream, error) {
	requestCtx, cancel := context.WithCancelCause(ctx)
	watchdog := time.AfterFunc(c.options.FirstByteTimeout, func() { cancel(ErrTimeout) })
	stream := &ChatStream{parent: ctx, requestCtx: requestCtx, cancel: cancel, watchdog: watchdog, idleTimeout: c.options.StreamIdleTimeout}
	stream.assembler.sizeLimit = c.options.AnswerLimit
	request, err := c.newChatRequest(requestCtx, address, call, body)
	if err != nil {
		stream.Close()
		return nil, err
	}
	response, err := c.send(requestCtx, request)
	if err != nil {
		stream.Close()
		return nil, c.classifySendError(ctx, err)
	}
	stream.body = response.Body
	if err := checkStreamResponse(response, call); err != nil {
		stream.Close()
		return nil, err
	}
	stream.reader = NewSSEReader(response.Body)
	return stream, nil
}

// checkStreamResponse validates the header of a streamed answer.
func checkStreamResponse(response *http.Response, call CallHeader) error {
	if err := checkCallID(response, call.Call); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fenceError(statusError(response))
	}
	kind, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	if err != nil || kind != "text/event-stream" {
		return fmt.Errorf("%w: response is not an event stream", ErrIncompleteAnswer)
	}
	return nil
}
