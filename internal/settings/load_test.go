package settings_test

import (
	"bufio"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"cowslipgw/internal/settings"
)

const validSettings = `
[host]
id = h1
region = ec-costa
failure_domain = costa-a
entry_address = 10.0.0.1:8080
admin_address = 10.0.0.1:8081
control_address = 10.0.0.1:8082
[platform]
log = http://10.0.1.1:9000
host_list = http://10.0.1.2:9000
log_retention = 36h
`

// TestLoad guards against values that are lost or read in the wrong unit.
func TestLoad(t *testing.T) {
	is := is.New(t)
	directory := t.TempDir()
	is.NoErr(os.WriteFile(filepath.Join(directory, "credential"), []byte("s3;cr#et%(x)s\n"), 0o600))
	path := filepath.Join(directory, "host.ini")
	text := validSettings + "[upstream]\ncredential_file = credential\n[limits]\nbody = 2 MiB\nclaim_retention = 48h\n[log]\nformat = json\nlevel = warning\n"
	is.NoErr(os.WriteFile(path, []byte(text), 0o600))
	host, faults := settings.Load(path)
	is.Equal(faults, nil)
	want := settings.Default()
	want.ID, want.Region, want.Domain = "h1", "ec-costa", "costa-a"
	want.EntryAddress, want.AdminAddress, want.ControlAddress = "10.0.0.1:8080", "10.0.0.1:8081", "10.0.0.1:8082"
	want.Platform = settings.Platform{Log: "10.0.1.1:9000", HostList: "10.0.1.2:9000", LogRetention: 36 * time.Hour}
	want.Upstream.Credential = "s3;cr#et%(x)s"
	want.Limits.MaxBody, want.Limits.ClaimRetention = 2<<20, 48*time.Hour
	want.Log = settings.Log{JSON: true, Level: logrus.WarnLevel}
	is.Equal(*host, want)
}

// TestFaults guards against invalid settings that are accepted, and faults that do not
// name their location and the allowed values.
func TestFaults(t *testing.T) {
	cases := []struct{ text, want string }{
		{strings.Replace(validSettings, "id = h1\n", "", 1), `f.ini [host] id: is missing; allowed: 1 to 64 letters`},
		{strings.Replace(validSettings, "id = h1", "id = h 1", 1), `f.ini [host] id: "h 1" is not allowed`},
		{strings.Replace(validSettings, "id = h1", "id = h1\nid = h1", 1), `f.ini [host] id: is given more than once`},
		{strings.Replace(validSettings, "10.0.0.1:8080", "0.0.0.0:8080", 1), `[host] entry_address: "0.0.0.0:8080"`},
		{strings.Replace(validSettings, "10.0.0.1:8080", "example:80", 1), `[host] entry_address`},
		{strings.Replace(validSettings, "10.0.0.1:8081", "10.0.0.1:8080", 1), `[host] admin_address: is the same as entry_address`},
		{strings.Replace(validSettings, "http://10.0.1.1:9000", "10.0.1.1:9000", 1), `[platform] log: "10.0.1.1:9000" is not allowed; allowed: "http://ip:port"`},
		{"x = 1\n" + validSettings, `x: is outside of any section`},
		{validSettings + "[limit]\n", `[limit]: unknown section; allowed: host, platform, upstream, limits, log, trace`},
		{validSettings + "[limits]\nbodies = 1\n", `[limits] bodies: unknown key; allowed: body, app_buffer`},
		{validSettings + "[limits]\nbody = 2 MB\n", `[limits] body: "2 MB" is not allowed`},
		{validSettings + "[limits]\nbody = 9223372036854775807GiB\n", `[limits] body`},
		{validSettings + "[limits]\ndispatch_window = 3s\n", `[limits] dispatch_window: "3s" is not allowed; allowed: a duration from 100ms to 2s`},
		{validSettings + "[upstream]\ncredential = a\ncredential_file = b\n", `[upstream] credential_file: cannot be combined with credential`},
		{validSettings + "[upstream]\ncredential_file = missing\n", `[upstream] credential_file: cannot be read`},
		{validSettings + "[log]\nlevel = loud\n", `[log] level: "loud" is not allowed; allowed: error, warning, info or debug`},
		{validSettings + "[trace]\nendpoint = collector\n", `[trace] endpoint`},
		{"[host\n", `is not an INI file`},
	}
	for _, c := range cases {
		host, faults := settings.Parse("f.ini", []byte(c.text))
		if host != nil || len(faults) != 1 || !strings.Contains(faults[0].String(), c.want) {
			t.Errorf("%q: %v, want one fault with %q", c.text, faults, c.want)
		}
	}
}

// TestDocs guards against keys and defaults that differ between the code and
// docs/settings.md.
func TestDocs(t *testing.T) {
	is := is.New(t)
	file, err := os.Open("../../docs/settings.md")
	is.NoErr(err)
	defer file.Close()
	row := regexp.MustCompile("^\\| `\\[(\\w+)\\] (\\w+)` \\| ([^|]+) \\|")
	documented := make(map[string]string)
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		if match := row.FindStringSubmatch(scanner.Text()); match != nil {
			documented[match[1]+"."+match[2]] = strings.Trim(match[3], "` ")
		}
	}
	is.Equal(documented, settings.DocumentedDefaults())
}
