package hostlist_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/standin/hostlist"
)

func send(server *hostlist.Server, method, path, body string) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	server.ServeHTTP(recorder, httptest.NewRequest(method, path, strings.NewReader(body)))
	return recorder
}

// listStates returns the listed replicas as "id:state", separated by spaces.
func listStates(is *is.I, server *hostlist.Server) string {
	var list struct{ Hosts []hostlist.Replica }
	is.NoErr(json.Unmarshal(send(server, http.MethodGet, "/hosts", "").Body.Bytes(), &list))
	var entries []string
	for _, r := range list.Hosts {
		entries = append(entries, r.ID+":"+r.State)
	}
	return strings.Join(entries, " ")
}

// TestLag guards against changes that become visible before the lag has passed,
// and against lost changes when several occur within one lag.
func TestLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		server := hostlist.New(2*time.Second, hostlist.Replica{Pool: "p", ID: "a", Address: "10.0.0.1:80"})
		is.Equal(listStates(is, server), "a:live")
		is.Equal(send(server, http.MethodPut, "/hosts/a", `{"state":"leaving"}`).Code, http.StatusNoContent)
		time.Sleep(time.Second)
		is.Equal(send(server, http.MethodPut, "/hosts/b", `{"pool":"p","address":"10.0.0.2:80"}`).Code, http.StatusNoContent)
		is.Equal(listStates(is, server), "a:live")
		time.Sleep(time.Second)
		is.Equal(listStates(is, server), "a:leaving")
		is.True(server.SetState("a", hostlist.Gone))
		time.Sleep(time.Second)
		is.Equal(listStates(is, server), "a:leaving b:live")
		time.Sleep(time.Second)
		is.Equal(listStates(is, server), "b:live")
		is.Equal(server.Replicas()[0].Pool, "p")

		is.Equal(send(server, http.MethodPut, "/hosts/b", `{"state":"asleep"}`).Code, http.StatusBadRequest)
		is.Equal(send(server, http.MethodPut, "/hosts/c", `{}`).Code, http.StatusBadRequest)
		is.True(!server.SetState("c", hostlist.Live))
	})
}
