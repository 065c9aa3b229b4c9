package engine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"cowslipgw/internal/structs"
)

// link is the element of a hash chain for one message of a prompt. Its hash covers
// the model and all messages up to this one, so equal hashes mean equal prefixes.
type link struct {
	hash   uint64
	tokens int64
}

// prefixChain returns the hash chain of a prompt.
func prefixChain(model string, messages []structs.Message) []link {
	chain := make([]link, 0, len(messages)+1)
	parent := xxhash.Sum64String(model)
	for _, m := range messages {
		parent = linkHash(parent, m)
		chain = append(chain, link{hash: parent, tokens: messageTokens(m)})
	}
	return chain
}

// linkHash returns the hash of the prefix with hash parent extended by a message.
func linkHash(parent uint64, m structs.Message) uint64 {
	digest := xxhash.New()
	field := func(text string) {
		var size [8]byte
		binary.LittleEndian.PutUint64(size[:], uint64(len(text)))
		_, _ = digest.Write(size[:])
		_, _ = digest.WriteString(text)
	}
	var prefix [8]byte
	binary.LittleEndian.PutUint64(prefix[:], parent)
	_, _ = digest.Write(prefix[:])
	field(m.Role)
	field(contentText(m.Content))
	field(m.Name)
	field(string(m.ToolCalls))
	field(m.ToolCallID)
	return digest.Sum64()
}

// chainTokens returns the number of tokens of a chain.
func chainTokens(chain []link) int64 {
	var sum int64
	for _, l := range chain {
		sum += l.tokens
	}
	return sum
}
