package event_test

import (
	"bufio"
	"fmt"
	"os"
	"regexp"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"cowslipgw/internal/event"
)

// row matches one row of the table in docs/events.md: number, level and text.
var row = regexp.MustCompile(`^\| (\d{4}) \| (\w+) \| ([^|]+) \|`)

// TestCatalogueMatchesDocs guards against events that are missing from
// docs/events.md, against documented events that no longer exist, and against
// levels or texts that differ.
func TestCatalogueMatchesDocs(t *testing.T) {
	is := is.New(t)
	file, err := os.Open("../../docs/events.md")
	is.NoErr(err)
	defer file.Close()
	documented := make(map[int]string)
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		match := row.FindStringSubmatch(scanner.Text())
		if match == nil {
			continue
		}
		number, err := strconv.Atoi(match[1])
		is.NoErr(err)
		documented[number] = fmt.Sprintf("%s %s", match[2], match[3])
	}
	is.NoErr(scanner.Err())
	for number, e := range event.All() {
		want := fmt.Sprintf("%s %s", e.Level, e.Text)
		if documented[number] != want {
			t.Errorf("event %d: docs/events.md has %q, the code has %q", number, documented[number], want)
		}
		delete(documented, number)
	}
	for number, text := range documented {
		t.Errorf("event %d (%s) is in docs/events.md and not in the code", number, text)
	}
}
