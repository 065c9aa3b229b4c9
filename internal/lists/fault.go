package lists

import "strings"

// Values of Fault.File.
const (
	FileAccounts = "accounts"
	FilePlans    = "plans"
)

// Fault is one validation error in the text of a list.
type Fault struct {
	// File is FileAccounts or FilePlans.
	File    string `json:"file"`
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	Message string `json:"message"`
	// Allowed describes the valid values.
	Allowed string `json:"allowed,omitempty"`
}

// String formats the fault as one line.
func (f Fault) String() string {
	var b strings.Builder
	b.WriteString(f.File)
	if f.Section != "" {
		b.WriteString(": [" + f.Section + "]")
	}
	if f.Key != "" {
		b.WriteString(" " + f.Key)
	}
	b.WriteString(": " + f.Message)
	if f.Allowed != "" {
		b.WriteString(" (allowed: " + f.Allowed + ")")
	}
	return b.String()
}
