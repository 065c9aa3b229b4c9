package lists

import (
	"fmt"
	"math"
	"sort"
	"strconv"
	"strings"
	"time"
)

// text returns a value and marks the key as known.
func (s *section) text(key string) (string, bool) {
	s.used[key] = true
	value, ok := s.values[key]
	return strings.TrimSpace(value), ok
}

// require returns a value that must be given.
func (s *section) require(key, allowed string) (string, bool) {
	value, ok := s.text(key)
	if !ok || value == "" {
		s.fail(key, "missing", allowed)
		return "", false
	}
	return value, true
}

// requireName returns a value that must be given and be a name.
func (s *section) requireName(key string) string {
	value, ok := s.require(key, allowedName)
	if ok && !validName(value) {
		s.fail(key, "invalid name", allowedName)
	}
	return value
}

// names returns a comma-separated list of names; empty parts and repeats are faults.
func (s *section) names(key string) []string {
	value, ok := s.text(key)
	if !ok || value == "" {
		return nil
	}
	var names []string
	seen := make(map[string]bool)
	for _, part := range strings.Split(value, ",") {
		name := strings.TrimSpace(part)
		if name == "" {
			s.fail(key, "empty entry in the list", "")
			continue
		}
		if seen[name] {
			s.fail(key, fmt.Sprintf("%q is listed twice", clip(shorten(name))), "")
			continue
		}
		seen[name] = true
		names = append(names, name)
	}
	return names
}

// number returns a whole number from 1 to most, or missing if the key is not given.
func (s *section) number(key string, most, missing int64) int64 {
	value, ok := s.text(key)
	if !ok {
		return missing
	}
	number, err := strconv.ParseInt(value, 10, 64)
	if err != nil || number < 1 || number > most {
		s.fail(key, fmt.Sprintf("invalid number %q", clip(value)), fmt.Sprintf("a whole number from 1 to %d", most))
		return missing
	}
	return number
}

// decimal returns a number above least and up to most, or missing if the key is not
// given.
func (s *section) decimal(key string, least, most, missing float64) float64 {
	value, ok := s.text(key)
	if !ok {
		return missing
	}
	number, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(number) || number < least || number > most {
		s.fail(key, fmt.Sprintf("invalid number %q", clip(value)), fmt.Sprintf("a number from %v to %v", least, most))
		return missing
	}
	return number
}

// duration returns a time span from 1 s to most, or 0 if the key is not given.
func (s *section) duration(key string, most time.Duration) time.Duration {
	value, ok := s.text(key)
	if !ok {
		return 0
	}
	span, err := time.ParseDuration(value)
	if err != nil || span < time.Second || span > most {
		s.fail(key, fmt.Sprintf("invalid time span %q", clip(value)), fmt.Sprintf("1s to %v, such as 90s or 2h30m", most))
		return 0
	}
	return span
}

// flag returns yes or no; no if the key is not given.
func (s *section) flag(key string) bool {
	value, ok := s.text(key)
	if ok && value != "yes" && value != "no" {
		s.fail(key, fmt.Sprintf("invalid value %q", clip(value)), "yes or no")
	}
	return value == "yes"
}

// finish reports the keys that nothing asked for.
func (s *section) finish() {
	var unknown []string
	for key := range s.values {
		if !s.used[key] {
			unknown = append(unknown, key)
		}
	}
	sort.Strings(unknown)
	for _, key := range unknown {
		s.fail(clip(key), "unknown key", strings.Join(sortedKeys(s.used), ", "))
	}
}

// sortedKeys returns the keys of a map in order.
func sortedKeys[K ~string, V any](m map[K]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, string(key))
	}
	sort.Strings(keys)
	return keys
}
