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

// newChat builds a chat request.
func (c *Client) newChat(ctx context.Context, address string, call CallHeader, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+chatPath, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("User-Agent", "cowslipgw")
	c.apply(ctx, request.Header, call)
	return request, nil
}

// Chat sends a request that is not streamed and returns the whole answer. Errors
// are ErrNotSent, ErrTimeout, ErrCutShort, ErrForeignAnswer, ErrAnswerTooLong,
// ErrOldFence, another *StatusError, or the cause of ctx.
func (c *Client) Chat(ctx context.Context, address string, call CallHeader, body []byte) (*Answer, error) {
	limited, cancel := context.WithTimeoutCause(ctx, c.options.Answer, ErrTimeout)
	defer cancel()
	request, err := c.newChat(limited, address, call, body)
	if err != nil {
		return nil, err
	}
	response, err := c.send(limited, request)
	if err != nil {
		return nil, c.sendError(ctx, err)
	}
	defer response.Body.Close()
	if err := checkCall(response, call.Call); err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, fenced(statusError(response))
	}
	answer, err := c.readAnswer(response)
	if err != nil {
		return nil, classify(ctx, causeOr(limited, err))
	}
	return answer, nil
}

// sendError keeps ErrNotSent and classifies the rest.
func (c *Client) sendError(ctx context.Context, err error) error {
	if errors.Is(err, ErrNotSent) {
		return err
	}
	return classify(ctx, err)
}

// readAnswer reads and checks an answer that is not streamed.
func (c *Client) readAnswer(response *http.Response) (*Answer, error) {
	if !framed(response) {
		return nil, fmt.Errorf("%w: the answer has neither Content-Length nor chunks", ErrCutShort)
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
		return nil, fmt.Errorf("%w: %w", ErrCutShort, err)
	}
	if len(wire.Choices) != 1 || wire.Choices[0].FinishReason == "" {
		return nil, fmt.Errorf("%w: the answer has no finish_reason", ErrCutShort)
	}
	answer := &Answer{Body: body, Message: wire.Choices[0].Message, FinishReason: wire.Choices[0].FinishReason}
	if wire.Usage != nil {
		answer.Usage = wire.Usage.usage()
	}
	return answer, nil
}

// framed says whether the end of an answer can be told from a lost connection.
func framed(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// ChatStream sends a streamed request and returns once the answer's header is
// there. The caller closes the stream. Errors are those of Chat.
func (c *Client) ChatStream(ctx context.Context, address string, call CallHeader, body []byte) (*ChatStream, error) {
	limited, cancel := context.WithCancelCause(ctx)
	watch := time.AfterFunc(c.options.FirstByte, func() { cancel(ErrTimeout) })
	stream := &ChatStream{parent: ctx, limited: limited, cancel: cancel, watch: watch, idle: c.options.Idle}
	stream.assembler.lengthLimit = c.options.AnswerLimit
	request, err := c.newChat(limited, address, call, body)
	if err != nil {
		stream.Close()
		return nil, err
	}
	response, err := c.send(limited, request)
	if err != nil {
		stream.Close()
		return nil, c.sendError(ctx, err)
	}
	stream.body = response.Body
	if err := checkStream(response, call); err != nil {
		stream.Close()
		return nil, err
	}
	stream.reader = NewSSEReader(response.Body)
	return stream, nil
}

// checkStream checks the header of a streamed answer.
func checkStream(response *http.Response, call CallHeader) error {
	if err := checkCall(response, call.Call); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fenced(statusError(response))
	}
	kind, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	if err != nil || kind != "text/event-stream" {
		return fmt.Errorf("%w: the answer is not an event stream", ErrCutShort)
	}
	return nil
}
