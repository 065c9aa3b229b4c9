package entry

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"

	"cowslipgw/internal/program"
	"cowslipgw/internal/structs"
)

// Constants of the estimate of a prompt's length in tokens.
const (
	bytesPerToken    = 4
	tokensPerMessage = 4
)

// Fields of a chat request that the host interprets or sets.
const (
	fieldModel               = "model"
	fieldMessages            = "messages"
	fieldStream              = "stream"
	fieldStreamOptions       = "stream_options"
	fieldChoices             = "n"
	fieldMaxTokens           = "max_tokens"
	fieldMaxCompletionTokens = "max_completion_tokens"
)

// interpretedFields lists the fields that must be spelled exactly. An engine might
// accept another spelling that the host does not recognize.
var interpretedFields = []string{fieldModel, fieldMessages, fieldStream, fieldStreamOptions, fieldChoices, fieldMaxTokens, fieldMaxCompletionTokens}

// chatRequest is a validated request body. Fields that the host does not interpret are
// forwarded unchanged.
type chatRequest struct {
	fields       map[string]json.RawMessage
	model        string
	messages     []structs.Message
	stream       bool
	includeUsage bool
	// maxTokens is 0 if the request sets no limit.
	maxTokens int64
}

// invalidBody returns the problem for an invalid request body.
func invalidBody(format string, arguments ...any) *structs.Problem {
	return newProblem(http.StatusBadRequest, "body-invalid", fmt.Sprintf(format, arguments...))
}

// parseChat decodes and validates a request body.
func parseChat(body []byte) (*chatRequest, *structs.Problem) {
	if !utf8.Valid(body) {
		return nil, invalidBody("the body is not valid UTF-8")
	}
	request := &chatRequest{}
	if err := json.Unmarshal(body, &request.fields); err != nil {
		return nil, invalidBody("the body is not one JSON object: %s", err)
	}
	if request.fields == nil {
		return nil, invalidBody("the body is not a JSON object")
	}
	for _, check := range []func() *structs.Problem{
		request.checkSpelling, request.readModel, request.readMessages,
		request.readStream, request.readChoices, request.readLimit,
	} {
		if problem := check(); problem != nil {
			return nil, problem
		}
	}
	return request, nil
}

// checkSpelling rejects fields that differ from an interpreted field only in case.
func (c *chatRequest) checkSpelling() *structs.Problem {
	for name := range c.fields {
		for _, known := range interpretedFields {
			if name != known && strings.EqualFold(name, known) {
				return invalidBody("field %q must be written %q", name, known)
			}
		}
	}
	return nil
}

// read decodes one field. An absent or null field leaves into unchanged.
func (c *chatRequest) read(name, want string, into any) *structs.Problem {
	raw, present := c.fields[name]
	if !present {
		return nil
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return invalidBody("field %q must be %s", name, want)
	}
	return nil
}

func (c *chatRequest) readModel() *structs.Problem {
	if problem := c.read(fieldModel, "a string", &c.model); problem != nil {
		return problem
	}
	if c.model == "" {
		return invalidBody("field %q is missing", fieldModel)
	}
	return nil
}

func (c *chatRequest) readMessages() *structs.Problem {
	if problem := c.read(fieldMessages, "a list of messages", &c.messages); problem != nil {
		return problem
	}
	if len(c.messages) == 0 {
		return invalidBody("field %q must have at least one message", fieldMessages)
	}
	for i, message := range c.messages {
		if !slices.Contains([]string{"system", "developer", "user", "assistant", "tool", "function"}, message.Role) {
			return invalidBody("messages[%d].role %q is not known", i, message.Role)
		}
		if kind := firstByte(message.Content); kind != 0 && kind != '"' && kind != '[' && kind != 'n' {
			return invalidBody("messages[%d].content must be a string or a list", i)
		}
	}
	return nil
}

// firstByte returns the first byte of a JSON value, which determines its type.
func firstByte(raw json.RawMessage) byte {
	raw = bytes.TrimLeft(raw, " \t\r\n")
	if len(raw) == 0 {
		return 0
	}
	return raw[0]
}

func (c *chatRequest) readStream() *structs.Problem {
	if problem := c.read(fieldStream, "true or false", &c.stream); problem != nil {
		return problem
	}
	var options *struct {
		IncludeUsage bool `json:"include_usage"`
	}
	if problem := c.read(fieldStreamOptions, "an object", &options); problem != nil {
		return problem
	}
	if options == nil {
		return nil
	}
	if !c.stream {
		return invalidBody("field %q needs %q", fieldStreamOptions, fieldStream)
	}
	c.includeUsage = options.IncludeUsage
	return nil
}

func (c *chatRequest) readChoices() *structs.Problem {
	choices := 1
	if problem := c.read(fieldChoices, "an integer", &choices); problem != nil {
		return problem
	}
	if choices != 1 {
		return newProblem(http.StatusBadRequest, "unsupported", `field "n" must be 1: one choice is supported`)
	}
	return nil
}

func (c *chatRequest) readLimit() *structs.Problem {
	for _, name := range []string{fieldMaxTokens, fieldMaxCompletionTokens} {
		var limit *int64
		if problem := c.read(name, "an integer", &limit); problem != nil {
			return problem
		}
		if limit == nil {
			continue
		}
		if *limit < 1 {
			return invalidBody("field %q must be at least 1", name)
		}
		if c.maxTokens != 0 && c.maxTokens != *limit {
			return invalidBody("fields %q and %q differ", fieldMaxTokens, fieldMaxCompletionTokens)
		}
		c.maxTokens = *limit
	}
	return nil
}

// digest returns the hash that identifies the body in idempotency claims. It does not
// depend on the order of fields, on white space or on whether the answer is streamed,
// so that a retry may request the other form.
func (c *chatRequest) digest() [sha256.Size]byte {
	fields := make(map[string]json.RawMessage, len(c.fields))
	for name, value := range c.fields {
		if name != fieldStream && name != fieldStreamOptions {
			fields[name] = value
		}
	}
	canonical, err := json.Marshal(fields)
	if err != nil {
		// Unreachable: the values were decoded from valid JSON.
		panic(err)
	}
	return sha256.Sum256(canonical)
}

// promptTokens estimates the prompt length of a call without a program.
func (c *chatRequest) promptTokens() int64 {
	return int64(len(c.fields[fieldMessages])/bytesPerToken + tokensPerMessage*len(c.messages))
}

// prefixOf hashes the leading system and developer messages, which programs with the
// same instructions share, and returns an estimate of their length in tokens.
func prefixOf(model string, messages []structs.Message) (hashed uint64, tokens int64) {
	hash := xxhash.New()
	_, _ = hash.WriteString(model)
	count := 0
	for _, message := range messages {
		if message.Role != "system" && message.Role != "developer" {
			break
		}
		count++
		_, _ = hash.WriteString("\x00" + message.Role + "\x00")
		_, _ = hash.Write(message.Content)
	}
	if count == 0 {
		return 0, 0
	}
	return hash.Sum64(), program.EstimateTokens(messages[:count])
}

// encode returns the body for the engine, in which the program's history replaces the
// caller's messages if there is one.
func (c *chatRequest) encode(history []structs.Message, maxTokens int64) ([]byte, error) {
	messages := c.fields[fieldMessages]
	if history != nil {
		encoded, err := json.Marshal(history)
		if err != nil {
			return nil, err
		}
		messages = encoded
	}
	var body bytes.Buffer
	body.Grow(len(messages) + 512)
	fmt.Fprintf(&body, `{"messages":%s`, messages)
	if c.stream {
		body.WriteString(`,"stream":true,"stream_options":{"include_usage":true}`)
	}
	limit := fieldMaxTokens
	if _, given := c.fields[fieldMaxCompletionTokens]; given {
		limit = fieldMaxCompletionTokens
	}
	fmt.Fprintf(&body, `,%q:%d`, limit, maxTokens)
	for name, value := range c.fields {
		switch name {
		case fieldMessages, fieldStream, fieldStreamOptions, fieldMaxTokens, fieldMaxCompletionTokens, fieldChoices:
			continue
		}
		key, err := json.Marshal(name)
		if err != nil {
			return nil, err
		}
		fmt.Fprintf(&body, `,%s:%s`, key, value)
	}
	body.WriteByte('}')
	return body.Bytes(), nil
}
