package program

import "cowslipgw/internal/structs"

// EstimateTokens returns an upper bound of the tokens of messages: a byte-level
// tokenizer never produces more tokens than bytes. The bound does not cover images that
// are included by reference.
func EstimateTokens(messages []structs.Message) int64 {
	var total int64
	for _, m := range messages {
		total += messageOverhead
		total += int64(len(m.Role) + len(m.Content) + len(m.Name) + len(m.ToolCalls) + len(m.ToolCallID))
	}
	return total
}
