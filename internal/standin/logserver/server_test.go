package logserver_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/standin/logserver"
)

func send(server *logserver.Server, method, path, body string) *httptest.ResponseRecorder {
	response := httptest.NewRecorder()
	server.ServeHTTP(response, httptest.NewRequest(method, path, strings.NewReader(body)))
	return response
}

// TestProtocol guards against responses that deviate from docs/design.md,
// section 7.
func TestProtocol(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := logserver.New(logserver.Settings{MaxRecordBytes: 4})
		cases := []struct {
			method, path, body string
			status             int
			want               string
		}{
			{"GET", "/streams/s?after=0&max=9&wait_ms=0", "", 200, `{"first":1,"end":0,"records":[]}`},
			{"POST", "/streams/s", `{"id":"a","data":"eHg="}`, 200, `{"offset":1}`},
			{"POST", "/streams/s", `{"id":"b","data":null}`, 200, `{"offset":2}`},
			{"GET", "/streams/s?after=0&max=1&wait_ms=0", "", 200, `{"first":1,"end":2,"records":[{"offset":1,"id":"a","data":"eHg="}]}`},
			{"GET", "/streams/s?after=7", "", 200, `{"first":1,"end":2,"records":[]}`},
			{"POST", "/streams/s", `{"data":"eHg="}`, 400, "id is missing"},
			{"POST", "/streams/s", `{"id":"c","data":"eHh4eHg="}`, 413, "longer than 4 bytes"},
			{"POST", "/streams/s", `{`, 400, "invalid_request"},
			{"GET", "/streams/s?after=x", "", 400, "after is not a number"},
			{"GET", "/streams/s?max=0", "", 400, "max is not a positive number"},
			{"POST", "/faults", `{"delay_ms":50}`, 200, `"delay_ms":50`},
		}
		for _, c := range cases {
			response := send(server, c.method, c.path, c.body)
			if response.Code != c.status || !strings.Contains(response.Body.String(), c.want) {
				t.Errorf("%s %s: %d %s, want %d %s", c.method, c.path, response.Code, response.Body, c.status, c.want)
			}
		}
		is := is.New(t)
		server.SetFaults(logserver.Faults{})
		server.Trim("s", 2)
		trimmed := send(server, http.MethodGet, "/streams/s?after=0", "")
		is.Equal(trimmed.Code, http.StatusGone)
		is.Equal(strings.TrimSpace(trimmed.Body.String()), `{"first":2,"end":2,"records":[]}`)
	})
}

// TestLongPoll guards against long polls that return late or before a record is
// available.
func TestLongPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		server := logserver.New(logserver.Settings{})
		start := time.Now()
		send(server, http.MethodGet, "/streams/s?wait_ms=700", "")
		is.Equal(time.Since(start), 700*time.Millisecond)
		time.AfterFunc(time.Second, func() { server.Append("s", "a", nil) })
		start = time.Now()
		response := send(server, http.MethodGet, "/streams/s?wait_ms=9000", "")
		is.Equal(time.Since(start), time.Second)
		is.True(strings.Contains(response.Body.String(), `"id":"a"`))
		time.AfterFunc(time.Second, server.Close)
		start = time.Now()
		send(server, http.MethodGet, "/streams/s?after=1&wait_ms=9000", "")
		is.Equal(time.Since(start), time.Second)
	})
}

// TestLimit guards against a log that exceeds its configured append rate.
func TestLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		server := logserver.New(logserver.Settings{})
		accepted := 0
		for range 10 * 1000 {
			response := send(server, http.MethodPost, "/streams/s", `{"id":"a"}`)
			if response.Code == http.StatusOK {
				accepted++
			} else {
				is.Equal(response.Code, http.StatusTooManyRequests)
			}
			time.Sleep(time.Millisecond)
		}
		is.True(accepted >= 10*300)
		is.True(accepted <= 10*300+30)
		is.Equal(len(server.Records("s")), accepted)
	})
}
