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
	answer := httptest.NewRecorder()
	server.ServeHTTP(answer, httptest.NewRequest(method, path, strings.NewReader(body)))
	return answer
}

// states returns "id:state" of the listed replicas.
func states(is *is.I, server *hostlist.Server) string {
	var list struct{ Hosts []hostlist.Replica }
	is.NoErr(json.Unmarshal(send(server, http.MethodGet, "/hosts", "").Body.Bytes(), &list))
	var all []string
	for _, r := range list.Hosts {
		all = append(all, r.ID+":"+r.State)
	}
	return strings.Join(all, " ")
}

// TestLag guards against changes that are visible before the lag is over, or that
// are lost when several come within one lag.
func TestLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		server := hostlist.New(2*time.Second, hostlist.Replica{Pool: "p", ID: "a", Address: "10.0.0.1:80"})
		is.Equal(states(is, server), "a:live")
		is.Equal(send(server, http.MethodPut, "/hosts/a", `{"state":"leaving"}`).Code, http.StatusNoContent)
		time.Sleep(time.Second)
		is.Equal(send(server, http.MethodPut, "/hosts/b", `{"pool":"p","address":"10.0.0.2:80"}`).Code, http.StatusNoContent)
		is.Equal(states(is, server), "a:live")
		time.Sleep(time.Second)
		is.Equal(states(is, server), "a:leaving")
		is.True(server.SetState("a", hostlist.Gone))
		time.Sleep(time.Second)
		is.Equal(states(is, server), "a:leaving b:live")
		time.Sleep(time.Second)
		is.Equal(states(is, server), "b:live")
		is.Equal(server.Replicas()[0].Pool, "p")

		is.Equal(send(server, http.MethodPut, "/hosts/b", `{"state":"asleep"}`).Code, http.StatusBadRequest)
		is.Equal(send(server, http.MethodPut, "/hosts/c", `{}`).Code, http.StatusBadRequest)
		is.True(!server.SetState("c", hostlist.Live))
	})
}
