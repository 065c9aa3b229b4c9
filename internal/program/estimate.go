package program

import "cowslipgw/internal/structs"

// EstimateTokens bounds the tokens of messages from above: a byte-level tokenizer
// never produces more tokens than bytes. Images by reference are not covered.
func EstimateTokens(messages []structs.Message) int64 {
	var total int64
	for _, m := range messages {
		total += messageOverhead
		total += int64(len(m.Role) + len(m.Content) + len(m.Name) + len(m.ToolCalls) + len(m.ToolCallID))
	}
	return total
}
