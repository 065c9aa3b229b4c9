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

// maxName bounds names in bytes.
const maxName = 64

// nameCharacters are the characters of names.
const nameCharacters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_."

// kind reads values of one form. set returns false when the value is not allowed.
type kind struct {
	allowed string
	set     func(host *Host, value string) bool
}

// text is any visible ASCII text.
func text(field func(*Host) *string) kind {
	return kind{allowed: "visible ASCII characters", set: func(host *Host, value string) bool {
		for i := range len(value) {
			if value[i] <= ' ' || value[i] > '~' {
				return false
			}
		}
		*field(host) = value
		return true
	}}
}

// name is a name out of letters, digits, '-', '_' and '.'.
func name[T ~string](field func(*Host) *T) kind {
	return kind{allowed: "1 to 64 letters, digits, '-', '_' and '.'", set: func(host *Host, value string) bool {
		if value == "" || len(value) > maxName {
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

// address is an IP address and a port that other processes can connect to.
func address(field func(*Host) *string) kind {
	return kind{allowed: `"ip:port" with a specific address and a port from 1 to 65535`, set: func(host *Host, value string) bool {
		parsed, err := netip.ParseAddrPort(value)
		if err != nil || parsed.Port() == 0 || parsed.Addr().IsUnspecified() {
			return false
		}
		*field(host) = value
		return true
	}}
}

// service is the base URL of a platform service; its "ip:port" is kept.
func service(field func(*Host) *string) kind {
	inner := address(field)
	return kind{allowed: `"http://ip:port"`, set: func(host *Host, value string) bool {
		rest, found := strings.CutPrefix(value, "http://")
		return found && inner.set(host, strings.TrimSuffix(rest, "/"))
	}}
}

// endpoint is an absolute HTTP URL, or empty.
func endpoint(field func(*Host) *string) kind {
	return kind{allowed: `empty, or an URL that begins with "http://" or "https://"`, set: func(host *Host, value string) bool {
		parsed, err := url.Parse(value)
		if value != "" && (err != nil || parsed.Host == "" || parsed.Scheme != "http" && parsed.Scheme != "https") {
			return false
		}
		*field(host) = value
		return true
	}}
}

// duration is a time within bounds.
func duration(field func(*Host) *time.Duration, least, most time.Duration) kind {
	return kind{allowed: fmt.Sprintf("a time from %s to %s, such as 500ms, 3s or 10m", least, most), set: func(host *Host, value string) bool {
		parsed, err := time.ParseDuration(value)
		if err != nil || parsed < least || parsed > most {
			return false
		}
		*field(host) = parsed
		return true
	}}
}

// units are the suffixes of a number of bytes.
var units = map[string]int64{"KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}

// count is a whole number within bounds; unit says what it counts.
func count(field func(*Host) *int64, unit string, least, most int64) kind {
	allowed := fmt.Sprintf("a number of %s from %d to %d", unit, least, most)
	if unit == "bytes" {
		allowed += ", with KiB, MiB or GiB if wanted"
	}
	return kind{allowed: allowed, set: func(host *Host, value string) bool {
		factor := int64(1)
		for suffix, size := range units {
			if digits, found := strings.CutSuffix(value, suffix); found && unit == "bytes" {
				value, factor = strings.TrimSpace(digits), size
			}
		}
		parsed, err := strconv.ParseInt(value, 10, 64)
		if err != nil || parsed < 0 || parsed > most/factor || parsed*factor < least {
			return false
		}
		*field(host) = parsed * factor
		return true
	}}
}

// logFormat is text or json.
func logFormat() kind {
	return kind{allowed: "text or json", set: func(host *Host, value string) bool {
		host.Log.JSON = value == "json"
		return value == "json" || value == "text"
	}}
}

// logLevel is the lowest level that is written.
func logLevel() kind {
	levels := map[string]logrus.Level{"error": logrus.ErrorLevel, "warning": logrus.WarnLevel, "info": logrus.InfoLevel, "debug": logrus.DebugLevel}
	return kind{allowed: "error, warning, info or debug", set: func(host *Host, value string) bool {
		level, ok := levels[value]
		host.Log.Level = level
		return ok
	}}
}
