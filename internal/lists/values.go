package lists

import (
	"fmt"
	"math"
	"sort"
	"strconv"
	"strings"
	"time"
)

// lookup returns the value of a key and marks the key as known.
func (s *section) lookup(key string) (string, bool) {
	s.known[key] = true
	value, ok := s.values[key]
	return strings.TrimSpace(value), ok
}

// require returns the value of a required key.
func (s *section) require(key, allowed string) (string, bool) {
	value, ok := s.lookup(key)
	if !ok || value == "" {
		s.addFault(key, "missing", allowed)
		return "", false
	}
	return value, true
}

// requireName returns the value of a required key, which must be a valid name.
func (s *section) requireName(key string) string {
	value, ok := s.require(key, allowedName)
	if ok && !validName(value) {
		s.addFault(key, "invalid name", allowedName)
	}
	return value
}

// names returns a comma-separated list of names. It reports empty entries and
// duplicates.
func (s *section) names(key string) []string {
	value, ok := s.lookup(key)
	if !ok || value == "" {
		return nil
	}
	var names []string
	seen := make(map[string]bool)
	for _, part := range strings.Split(value, ",") {
		name := strings.TrimSpace(part)
		if name == "" {
			s.addFault(key, "empty entry in the list", "")
			continue
		}
		if seen[name] {
			s.addFault(key, fmt.Sprintf("%q is listed twice", truncate(truncateKeyHash(name))), "")
			continue
		}
		seen[name] = true
		names = append(names, name)
	}
	return names
}

// number returns an integer from 1 to upper, or fallback if the key is missing or
// invalid.
func (s *section) number(key string, upper, fallback int64) int64 {
	value, ok := s.lookup(key)
	if !ok {
		return fallback
	}
	number, err := strconv.ParseInt(value, 10, 64)
	if err != nil || number < 1 || number > upper {
		s.addFault(key, fmt.Sprintf("invalid number %q", truncate(value)), fmt.Sprintf("a whole number from 1 to %d", upper))
		return fallback
	}
	return number
}

// decimal returns a number from lower to upper, or fallback if the key is missing or
// invalid.
func (s *section) decimal(key string, lower, upper, fallback float64) float64 {
	value, ok := s.lookup(key)
	if !ok {
		return fallback
	}
	number, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(number) || number < lower || number > upper {
		s.addFault(key, fmt.Sprintf("invalid number %q", truncate(value)), fmt.Sprintf("a number from %v to %v", lower, upper))
		return fallback
	}
	return number
}

// duration returns a duration from 1 s to upper, or 0 if the key is missing or invalid.
func (s *section) duration(key string, upper time.Duration) time.Duration {
	value, ok := s.lookup(key)
	if !ok {
		return 0
	}
	span, err := time.ParseDuration(value)
	if err != nil || span < time.Second || span > upper {
		s.addFault(key, fmt.Sprintf("invalid time span %q", truncate(value)), fmt.Sprintf("1s to %v, such as 90s or 2h30m", upper))
		return 0
	}
	return span
}

// flag returns the value of a yes/no key, or false if the key is missing or invalid.
func (s *section) flag(key string) bool {
	value, ok := s.lookup(key)
	if ok && value != "yes" && value != "no" {
		s.addFault(key, fmt.Sprintf("invalid value %q", truncate(value)), "yes or no")
	}
	return value == "yes"
}

// reportUnknownKeys reports the keys of the section that were never looked up.
func (s *section) reportUnknownKeys() {
	var unknown []string
	for key := range s.values {
		if !s.known[key] {
			unknown = append(unknown, key)
		}
	}
	sort.Strings(unknown)
	for _, key := range unknown {
		s.addFault(truncate(key), "unknown key", strings.Join(sortedKeys(s.known), ", "))
	}
}

// sortedKeys returns the keys of a map in ascending order.
func sortedKeys[K ~string, V any](m map[K]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, string(key))
	}
	sort.Strings(keys)
	return keys
}
