package lists

import (
	"fmt"
	"strings"
	"unicode/utf8"

	"gopkg.in/ini.v1"
)

// maxTextBytes limits one list. 610 accounts with ten keys each need about 500 KiB.
const maxTextBytes = 4 << 20

// iniOptions makes every duplicate visible and switches off what would let two
// readers see different values: continuation lines, interpolated quotes and values
// inherited from a parent section.
var iniOptions = ini.LoadOptions{
	AllowNonUniqueSections:     true,
	AllowShadows:               true,
	AllowDuplicateShadowValues: true,
	IgnoreContinuation:         true,
	SpaceBeforeInlineComment:   true,
	KeyValueDelimiters:         "=",
	ChildSectionDelimiter:      "\x00",
}

// section is one section of a list with the values read from it.
type section struct {
	kind, name string
	title      string
	file       string
	values     map[string]string
	used       map[string]bool
	faults     *[]Fault
}

// readSections splits a text into its sections. kinds are the allowed section kinds.
func readSections(file, text string, kinds map[string]bool, faults *[]Fault) []*section {
	fail := func(title, key, message, allowed string) {
		*faults = append(*faults, Fault{File: file, Section: title, Key: key, Message: message, Allowed: allowed})
	}
	if message := checkText(text); message != "" {
		fail("", "", message, "")
		return nil
	}
	parsed, err := ini.LoadSources(iniOptions, []byte(text))
	if err != nil {
		fail("", "", "not valid INI: "+clip(err.Error()), "")
		return nil
	}
	last := lastValues(text)
	if len(last) != len(parsed.Sections()) {
		fail("", "", "not valid INI: sections are ambiguous", "")
		return nil
	}
	var sections []*section
	seen := make(map[string]bool)
	for i, raw := range parsed.Sections() {
		title := raw.Name()
		if title == ini.DefaultSection {
			if len(raw.Keys()) > 0 {
				fail("", clip(raw.Keys()[0].Name()), "key outside of a section", kindNames(kinds))
			}
			continue
		}
		words := strings.Fields(title)
		if len(words) != 2 || !kinds[words[0]] {
			fail(clip(title), "", "unknown section", kindNames(kinds))
			continue
		}
		title = words[0] + " " + words[1]
		if !validName(words[1]) {
			fail(clip(title), "", "invalid name", allowedName)
			continue
		}
		if seen[title] {
			fail(title, "", "duplicate section", "")
			continue
		}
		seen[title] = true
		sections = append(sections, newSection(file, words[0], words[1], raw, last[i], faults))
	}
	return sections
}

// lastValues returns the sections of a text in which the last of duplicate keys wins.
func lastValues(text string) []*ini.Section {
	options := iniOptions
	options.AllowShadows = false
	parsed, err := ini.LoadSources(options, []byte(text))
	if err != nil {
		return nil
	}
	return parsed.Sections()
}

// newSection reads the values of one section and reports duplicate keys. The library
// leaves empty values out of the duplicates, so the first and the last value are
// compared as well; a key that is empty twice means the same as once.
func newSection(file, kind, name string, raw, last *ini.Section, faults *[]Fault) *section {
	s := &section{
		kind: kind, name: name, title: kind + " " + name, file: file,
		values: make(map[string]string),
		used:   make(map[string]bool),
		faults: faults,
	}
	for _, key := range raw.Keys() {
		if len(key.ValueWithShadows()) > 1 || last.Key(key.Name()).Value() != key.Value() {
			s.fail(clip(key.Name()), "duplicate key", "")
		}
		s.values[key.Name()] = key.Value()
	}
	return s
}

// fail records a fault of this section.
func (s *section) fail(key, message, allowed string) {
	*s.faults = append(*s.faults, Fault{File: s.file, Section: s.title, Key: key, Message: message, Allowed: allowed})
}

// checkText returns what is wrong with a text as bytes, or "".
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

// clip shortens text from a list so that a message stays readable.
func clip(text string) string {
	const limit = 80
	runes := []rune(text)
	if len(runes) <= limit {
		return text
	}
	return string(runes[:limit]) + "..."
}

// kindNames lists the allowed sections in words.
func kindNames(kinds map[string]bool) string {
	if kinds["account"] {
		return "[account NAME]"
	}
	return "[plan NAME], [route NAME], [model NAME]"
}

// allowedName describes validName.
const allowedName = "1 to 64 letters, digits, '-', '_' and '.'"

// validName reports whether text can name an account, a plan, a route, a model or a
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
