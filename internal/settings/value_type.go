package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
)

// maxNameLength is the maximum length of a name in bytes.
const maxNameLength = 64

// nameCharacters are the characters allowed in names.
const nameCharacters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_."

// valueType parses the values of a key. set returns false if the value is not allowed.
type valueType struct {
	allowed string
	set     func(host *Host, value string) bool
}

// text accepts visible ASCII characters.
func text(field func(*Host) *string) valueType {
	return valueType{allowed: "visible ASCII characters", set: func(host *Host, value string) bool {
		for i := range len(value) {
			if value[i] <= ' ' || value[i] > '~' {
				return false
			}
		}
		*field(host) = value
		return true
	}}
}

// name accepts a name that consists of letters, digits, '-', '_' and '.'.
func name[T ~string](field func(*Host) *T) valueType {
	return valueType{allowed: "1 to 64 letters, digits, '-', '_' and '.'", set: func(host *Host, value string) bool {
		if value == "" || len(value) > maxNameLength {
			return false
		}
		for i := range len(value) {
			if !strings.ContainsRune(nameCharacters, rune(value[i])) {
				return false
			}
		}
		*field(host) = T(value)
		return true
	}}
}

// address accepts an IP address and a port that other processes can connect to.
func address(field func(*Host) *string) valueType {
	return valueType{allowed: `"ip:port" with a specific address and a port from 1 to 65535`, set: func(host *Host, value string) bool {
		parsed, err := netip.ParseAddrPort(value)
		if err != nil || parsed.Port() == 0 || parsed.Addr().IsUnspecified() {
			return false
		}
		*field(host) = value
		return true
	}}
}

// serviceURL accepts the base URL of a platform service and stores its "ip:port".
func serviceURL(field func(*Host) *string) valueType {
	addressType := address(field)
	return valueType{allowed: `"http://ip:port"`, set: func(host *Host, value string) bool {
		rest, found := strings.CutPrefix(value, "http://")
		return found && addressType.set(host, strings.TrimSuffix(rest, "/"))
	}}
}

// optionalURL accepts an absolute HTTP URL or an empty value.
func optionalURL(field func(*Host) *string) valueType {
	return valueType{allowed: `empty, or a URL that starts with "http://" or "https://"`, set: func(host *Host, value string) bool {
		parsed, err := url.Parse(value)
		if value != "" && (err != nil || parsed.Host == "" || parsed.Scheme != "http" && parsed.Scheme != "https") {
			return false
		}
		*field(host) = value
		return true
	}}
}

// duration accepts a duration from lower to upper.
func duration(field func(*Host) *time.Duration, lower, upper time.Duration) valueType {
	return valueType{allowed: fmt.Sprintf("a duration from %s to %s, such as 500ms, 3s or 10m", lower, upper), set: func(host *Host, value string) bool {
		parsed, err := time.ParseDuration(value)
		if err != nil || parsed < lower || parsed > upper {
			return false
		}
		*field(host) = parsed
		return true
	}}
}

// byteUnits are the suffixes of a number of bytes.
var byteUnits = map[string]int64{"KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}

// count accepts an integer from lower to upper. unit names what it counts.
func count(field func(*Host) *int64, unit string, lower, upper int64) valueType {
	allowed := fmt.Sprintf("a number of %s from %d to %d", unit, lower, upper)
	if unit == "bytes" {
		allowed += ", optionally with the suffix KiB, MiB or GiB"
	}
	return valueType{allowed: allowed, set: func(host *Host, value string) bool {
		factor := int64(1)
		for suffix, size := range byteUnits {
			if digits, found := strings.CutSuffix(value, suffix); found && unit == "bytes" {
				value, factor = strings.TrimSpace(digits), size
			}
		}
		parsed, err := strconv.ParseInt(value, 10, 64)
		if err != nil || parsed < 0 || parsed > upper/factor || parsed*factor < lower {
			return false
		}
		*field(host) = parsed * factor
		return true
	}}
}

// logFormat accepts text or json.
func logFormat() valueType {
	return valueType{allowed: "text or json", set: func(host *Host, value string) bool {
		host.Log.JSON = value == "json"
		return value == "json" || value == "text"
	}}
}

// logLevel accepts the lowest level that is logged.
func logLevel() valueType {
	levels := map[string]logrus.Level{"error": logrus.ErrorLevel, "warning": logrus.WarnLevel, "info": logrus.InfoLevel, "debug": logrus.DebugLevel}
	return valueType{allowed: "error, warning, info or debug", set: func(host *Host, value string) bool {
		level, ok := levels[value]
		host.Log.Level = level
		return ok
	}}
}
