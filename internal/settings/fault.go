package settings

import "fmt"

// Fault is one error in a settings file.
type Fault struct {
	File string
	// Section is empty if the fault concerns the whole file, Key if it concerns the
	// whole file or section.
	Section, Key string
	// Message describes the error. Allowed describes the valid values and may be empty.
	Message, Allowed string
}

// String formats the fault as one line.
func (f Fault) String() string {
	place := f.File
	if f.Section != "" {
		place += " [" + f.Section + "]"
	}
	if f.Key != "" {
		place += " " + f.Key
	}
	if f.Allowed == "" {
		return fmt.Sprintf("%s: %s", place, f.Message)
	}
	return fmt.Sprintf("%s: %s; allowed: %s", place, f.Message, f.Allowed)
}
