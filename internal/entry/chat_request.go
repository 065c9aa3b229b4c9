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

// bytesPerToken and tokensPerMessage estimate a prompt's length.
const (
	bytesPerToken    = 4
	tokensPerMessage = 4
)

// Fields of a chat request that the host reads or sets.
const (
	fieldModel     = "model"
	fieldMessages  = "messages"
	fieldStream    = "stream"
	fieldOptions   = "stream_options"
	fieldChoices   = "n"
	fieldMaxTokens = "max_tokens"
	fieldMaxNew    = "max_completion_tokens"
)

// readFields are the fields that must not appear in another spelling, which an
// engine might read and the host would not.
var readFields = []string{fieldModel, fieldMessages, fieldStream, fieldOptions, fieldChoices, fieldMaxTokens, fieldMaxNew}

// chatRequest is a checked request body. Fields that the host does not know are
// passed on.
type chatRequest struct {
	fields       map[string]json.RawMessage
	model        string
	messages     []structs.Message
	stream       bool
	includeUsage bool
	// maxTokens is 0 when the caller names none.
	maxTokens int64
}

// invalidBody returns a problem of a body that cannot be used.
func invalidBody(format string, arguments ...any) *structs.Problem {
	return newProblem(http.StatusBadRequest, "body-invalid", fmt.Sprintf(format, arguments...))
}

// parseChat checks a request body.
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

func (c *chatRequest) checkSpelling() *structs.Problem {
	for name := range c.fields {
		for _, known := range readFields {
			if name != known && strings.EqualFold(name, known) {
				return invalidBody("field %q must be written %q", name, known)
			}
		}
	}
	return nil
}

// read decodes one field; an absent or null field leaves into unchanged.
func (c *chatRequest) read(name, want string, into any) *structs.Problem {
	raw, given := c.fields[name]
	if !given {
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

// firstByte returns the first byte of a JSON value, which tells its kind.
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
	if problem := c.read(fieldOptions, "an object", &options); problem != nil {
		return problem
	}
	if options == nil {
		return nil
	}
	if !c.stream {
		return invalidBody("field %q needs %q", fieldOptions, fieldStream)
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
	for _, name := range []string{fieldMaxTokens, fieldMaxNew} {
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
			return invalidBody("fields %q and %q differ", fieldMaxTokens, fieldMaxNew)
		}
		c.maxTokens = *limit
	}
	return nil
}

// digest identifies the body for idempotency claims. It does not depend on the
// order of fields, white space, or whether the answer is streamed, so that a retry
// may ask for the other form.
func (c *chatRequest) digest() [sha256.Size]byte {
	fields := make(map[string]json.RawMessage, len(c.fields))
	for name, value := range c.fields {
		if name != fieldStream && name != fieldOptions {
			fields[name] = value
		}
	}
	canonical, err := json.Marshal(fields)
	if err != nil {
		// The values were decoded from valid JSON.
		panic(err)
	}
	return sha256.Sum256(canonical)
}

// promptTokens estimates the prompt of messages that no program precedes.
func (c *chatRequest) promptTokens() int64 {
	return int64(len(c.fields[fieldMessages])/bytesPerToken + tokensPerMessage*len(c.messages))
}

// prefixOf hashes the messages that programs with the same instructions share, and
// returns the estimate of their tokens.
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

// encode returns the body for the engine, with the program's history in place of
// the caller's messages if there is one.
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
	if _, given := c.fields[fieldMaxNew]; given {
		limit = fieldMaxNew
	}
	fmt.Fprintf(&body, `,%q:%d`, limit, maxTokens)
	for name, value := range c.fields {
		switch name {
		case fieldMessages, fieldStream, fieldOptions, fieldMaxTokens, fieldMaxNew, fieldChoices:
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
