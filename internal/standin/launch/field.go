package launch

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// field is a key that is allowed in a section.
type field struct {
	name string
	set  func(text string) error
}

// newField returns a field that parses its value with parse and stores the result
// in target.
func newField[T any](name string, target *T, parse func(string) (T, error)) field {
	return field{name: name, set: func(text string) error {
		parsed, err := parse(text)
		if err != nil {
			return err
		}
		*target = parsed
		return nil
	}}
}

// readSection sets the fields of a section. Errors name the file, section and key,
// and state what is allowed.
func readSection(file string, section *ini.Section, fields []field) error {
	for _, key := range section.Keys() {
		index := slices.IndexFunc(fields, func(f field) bool { return f.name == key.Name() })
		if index < 0 {
			return keyError(file, section, key, "unknown key; allowed: "+strings.Join(fieldNames(fields), ", "))
		}
		if len(key.ValueWithShadows()) > 1 {
			return keyError(file, section, key, "the key is given more than once")
		}
		if err := fields[index].set(key.Value()); err != nil {
			return keyError(file, section, key, fmt.Sprintf("value %q: %v", key.Value(), err))
		}
	}
	return nil
}

func keyError(file string, section *ini.Section, key *ini.Key, message string) error {
	return fmt.Errorf("%s: section [%s]: key %s: %s", file, section.Name(), key.Name(), message)
}

func fieldNames(fields []field) []string {
	names := make([]string, len(fields))
	for i, f := range fields {
		names[i] = f.name
	}
	return names
}

func parseText(text string) (string, error) {
	if text == "" {
		return "", errors.New("must not be empty")
	}
	return text, nil
}

func parseCount[T int | int64 | uint64](text string) (T, error) {
	parsed, err := strconv.ParseInt(text, 10, 64)
	if err != nil || parsed < 0 {
		return 0, errors.New("must be a whole number of at least 0")
	}
	return T(parsed), nil
}

func parseRate(text string) (float64, error) {
	parsed, err := strconv.ParseFloat(text, 64)
	if err != nil || !(parsed > 0 && parsed < 1e9) {
		return 0, errors.New("must be a number above 0")
	}
	return parsed, nil
}

func parseBool(text string) (bool, error) {
	switch text {
	case "true":
		return true, nil
	case "false":
		return false, nil
	default:
		return false, errors.New("must be true or false")
	}
}

func parseDuration(text string) (time.Duration, error) {
	parsed, err := time.ParseDuration(text)
	if err != nil || parsed < 0 {
		return 0, errors.New("must be a duration such as 250ms or 2s")
	}
	return parsed, nil
}

func parseList(text string) ([]string, error) {
	var list []string
	for item := range strings.SplitSeq(text, ",") {
		if item = strings.TrimSpace(item); item == "" {
			return nil, errors.New("must be a list of names separated by commas")
		}
		list = append(list, item)
	}
	return list, nil
}

// parseModels parses a comma-separated list of "NAME" or "NAME:BYTES".
func parseModels(text string) (map[string]int64, error) {
	list, err := parseList(text)
	if err != nil {
		return nil, err
	}
	models := make(map[string]int64)
	for _, item := range list {
		name, size, hasSize := strings.Cut(item, ":")
		if hasSize {
			if models[name], err = parseCount[int64](size); err != nil {
				return nil, errors.New("must be a list of NAME or NAME:BYTES separated by commas")
			}
			continue
		}
		models[name] = 0
	}
	return models, nil
}

// parseLoopback parses an "ip:port" and accepts only loopback addresses, because
// stand-ins do not authenticate their clients.
func parseLoopback(text string) (string, error) {
	host, port, err := net.SplitHostPort(text)
	if err != nil {
		return "", errors.New(`must be a loopback "ip:port"`)
	}
	ip := net.ParseIP(host)
	if _, err := strconv.ParseUint(port, 10, 16); err != nil || ip == nil || !ip.IsLoopback() {
		return "", errors.New(`must be a loopback "ip:port"`)
	}
	return text, nil
}
