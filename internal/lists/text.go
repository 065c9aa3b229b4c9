package lists

import (
	"fmt"
	"strings"
	"unicode/utf8"

	"gopkg.in/ini.v1"
)

// maxTextBytes limits the size of one list. 610 accounts with ten keys each need about
// 500 KiB.
const maxTextBytes = 4 << 20

// iniOptions exposes all duplicate sections and keys, and disables the features that
// could make two readers see different values: line continuation, quote interpolation
// and inheritance from parent sections.
var iniOptions = ini.LoadOptions{
	AllowNonUniqueSections:     true,
	AllowShadows:               true,
	AllowDuplicateShadowValues: true,
	IgnoreContinuation:         true,
	SpaceBeforeInlineComment:   true,
	KeyValueDelimiters:         "=",
	ChildSectionDelimiter:      "\x00",
}

// section is one section of a list. It records which keys are known and collects
// faults.
type section struct {
	kind, name string
	title      string
	file       string
	values     map[string]string
	known      map[string]bool
	faults     *[]Fault
}

// readSections parses a text and returns its sections. kinds are the allowed section
// kinds.
func readSections(file, text string, kinds map[string]bool, faults *[]Fault) []*section {
	addFault := func(title, key, message, allowed string) {
		*faults = append(*faults, Fault{File: file, Section: title, Key: key, Message: message, Allowed: allowed})
	}
	if message := checkText(text); message != "" {
		addFault("", "", message, "")
		return nil
	}
	parsed, err := ini.LoadSources(iniOptions, []byte(text))
	if err != nil {
		addFault("", "", "not valid INI: "+truncate(err.Error()), "")
		return nil
	}
	lastWins := parseLastWins(text)
	if len(lastWins) != len(parsed.Sections()) {
		addFault("", "", "not valid INI: sections are ambiguous", "")
		return nil
	}
	var sections []*section
	seen := make(map[string]bool)
	for i, raw := range parsed.Sections() {
		title := raw.Name()
		if title == ini.DefaultSection {
			if len(raw.Keys()) > 0 {
				addFault("", truncate(raw.Keys()[0].Name()), "key outside of a section", allowedSections(kinds))
			}
			continue
		}
		words := strings.Fields(title)
		if len(words) != 2 || !kinds[words[0]] {
			addFault(truncate(title), "", "unknown section", allowedSections(kinds))
			continue
		}
		title = words[0] + " " + words[1]
		if !validName(words[1]) {
			addFault(truncate(title), "", "invalid name", allowedName)
			continue
		}
		if seen[title] {
			addFault(title, "", "duplicate section", "")
			continue
		}
		seen[title] = true
		sections = append(sections, newSection(file, words[0], words[1], raw, lastWins[i], faults))
	}
	return sections
}

// parseLastWins returns the sections of a text, with the last value of each duplicate
// key.
func parseLastWins(text string) []*ini.Section {
	options := iniOptions
	options.AllowShadows = false
	parsed, err := ini.LoadSources(options, []byte(text))
	if err != nil {
		return nil
	}
	return parsed.Sections()
}

// newSection reads the values of a section and reports duplicate keys. The INI library
// omits empty values from the list of duplicates, so the first and the last value are
// compared as well. A key that is given twice with an empty value is accepted, because
// its value is unambiguous.
func newSection(file, kind, name string, raw, lastWins *ini.Section, faults *[]Fault) *section {
	s := &section{
		kind: kind, name: name, title: kind + " " + name, file: file,
		values: make(map[string]string),
		known:  make(map[string]bool),
		faults: faults,
	}
	for _, key := range raw.Keys() {
		if len(key.ValueWithShadows()) > 1 || lastWins.Key(key.Name()).Value() != key.Value() {
			s.addFault(truncate(key.Name()), "duplicate key", "")
		}
		s.values[key.Name()] = key.Value()
	}
	return s
}

// addFault adds a fault in this section.
func (s *section) addFault(key, message, allowed string) {
	*s.faults = append(*s.faults, Fault{File: s.file, Section: s.title, Key: key, Message: message, Allowed: allowed})
}

// checkText checks the size, encoding and characters of a text. It returns a
// description of the error, or "".
func checkText(text string) string {
	if len(text) > maxTextBytes {
		return fmt.Sprintf("text has %d bytes, more than %d", len(text), maxTextBytes)
	}
	if !utf8.ValidString(text) {
		return "text is not valid UTF-8"
	}
	for _, r := range text {
		if r < ' ' && r != '\n' && r != '\r' && r != '\t' {
			return fmt.Sprintf("text contains the control character %#U", r)
		}
	}
	return ""
}

// truncate shortens text from a list, to keep messages readable.
func truncate(text string) string {
	const limit = 80
	runes := []rune(text)
	if len(runes) <= limit {
		return text
	}
	return string(runes[:limit]) + "..."
}

// allowedSections describes the allowed sections of a list.
func allowedSections(kinds map[string]bool) string {
	if kinds["account"] {
		return "[account NAME]"
	}
	return "[plan NAME], [route NAME], [model NAME]"
}

// allowedName describes the names that validName accepts.
const allowedName = "1 to 64 letters, digits, '-', '_' and '.'"

// validName reports whether text is a valid name of an account, plan, route, model or
// pool.
func validName(text string) bool {
	if text == "" || len(text) > 64 {
		return false
	}
	for _, r := range text {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		if !letter && r != '-' && r != '_' && r != '.' {
			return false
		}
	}
	return true
}
