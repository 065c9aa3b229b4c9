package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestCheckConfig guards against a check that accepts an invalid settings file or
// rejects a valid one.
func TestCheckConfig(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "host.ini")
	text := "[host]\nid=h1\nregion=r\nfailure_domain=d\nentry_address=127.0.0.1:1\nadmin_address=127.0.0.1:2\n" +
		"control_address=127.0.0.1:3\n[platform]\nlog=http://127.0.0.1:4\nhost_list=http://127.0.0.1:5\n"
	is.NoErr(os.WriteFile(path, []byte(text), 0o600))
	var stdout, stderr bytes.Buffer
	is.Equal(dispatch(context.Background(), []string{"check", "-config", path}, &stdout, &stderr), exitOK)
	is.True(strings.Contains(stdout.String(), "host h1 in failure domain d of region r"))
	is.NoErr(os.WriteFile(path, []byte(text+"[limits]\nbody=x\n"), 0o600))
	is.Equal(dispatch(context.Background(), []string{"check", "-config", path}, &stdout, &stderr), exitFailure)
	is.True(strings.Contains(stderr.String(), `[limits] body: "x" is not allowed`))
	is.Equal(dispatch(context.Background(), []string{"check"}, &stdout, &stderr), exitUsage)
}
