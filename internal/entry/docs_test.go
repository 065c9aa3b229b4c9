package entry_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// codeInSource matches the codes of problems in this package.
var codeInSource = regexp.MustCompile(`(?:newProblem\([^,]+, |retryLater\(|problemOf\(err, |return )"([a-z_]+(?:-[a-z]+)*)", `)

// TestCodesAreDocumented guards against problem codes that are missing from
// docs/callers.md.
func TestCodesAreDocumented(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/callers.md")
	is.NoErr(err)
	files, err := filepath.Glob("*.go")
	is.NoErr(err)
	found := 0
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		source, err := os.ReadFile(file)
		is.NoErr(err)
		for _, match := range codeInSource.FindAllStringSubmatch(string(source), -1) {
			found++
			if !strings.Contains(string(page), "`"+match[1]+"`") {
				t.Errorf("%s: code %s is not in docs/callers.md", file, match[1])
			}
		}
	}
	is.True(found > 40)
}
