package settings

import "fmt"

// Fault is one thing that is wrong in a settings file.
type Fault struct {
	File string
	// Section and Key are empty when the fault concerns the whole file or section.
	Section, Key string
	// What says what is wrong, Allowed what is allowed instead.
	What, Allowed string
}

// String returns the fault as one line.
func (f Fault) String() string {
	place := f.File
	if f.Section != "" {
		place += " [" + f.Section + "]"
	}
	if f.Key != "" {
		place += " " + f.Key
	}
	if f.Allowed == "" {
		return fmt.Sprintf("%s: %s", place, f.What)
	}
	return fmt.Sprintf("%s: %s; allowed: %s", place, f.What, f.Allowed)
}
