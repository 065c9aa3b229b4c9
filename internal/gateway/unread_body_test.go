package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// sentBody is how the tests send a body of 900 bytes: the line of its head and its pieces.
type sentBody struct {
	head   string
	pieces []string
}

func lengthBody() sentBody {
	b := sentBody{head: "Content-Length: 900\r\n\r\n"}
	for range 9 {
		b.pieces = append(b.pieces, strings.Repeat("x", 100))
	}
	return b
}

func chunkedBody() sentBody {
	b := sentBody{head: "Transfer-Encoding: chunked\r\n\r\n"}
	for _, piece := range lengthBody().pieces {
		b.pieces = append(b.pieces, fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece))
	}
	b.pieces = append(b.pieces, "0\r\n\r\n")
	return b
}

// TestRefusalDoesNotWaitForBody guards against a refusal that is held back until the caller has
// sent its body, for ever if it does not come, and against a connection that is lost with it.
func TestRefusalDoesNotWaitForBody(t *testing.T) {
	var runs atomic.Int64
	for name, body := range map[string]sentBody{"length": lengthBody(), "chunked": chunkedBody()} {
		for status, head := range map[int]string{
			http.StatusNotFound:           "POST /none/1 HTTP/1.1\r\nHost: h\r\nId: a\r\nKey: k\r\n",
			http.StatusUnauthorized:       "POST /unsafe/1 HTTP/1.1\r\nHost: h\r\nId: a\r\nKey: no\r\n",
			http.StatusServiceUnavailable: "POST /unsafe/1 HTTP/1.1\r\nHost: h\r\nId: a\r\nKey: k\r\n",
		} {
			t.Run(fmt.Sprintf("%d %s", status, name), func(t *testing.T) {
				is := is.New(t)
				gw := newTestGateway(t, time.Minute, echoing(&runs))
				if status == http.StatusServiceUnavailable {
					gw.config.SetFreshness(time.Nanosecond)
				}
				c := gw.dialRaw(t, head+body.head+body.pieces[0])
				is.NoErr(c.SetReadDeadline(time.Now().Add(time.Second)))
				reader := bufio.NewReader(c)
				answer, err := http.ReadResponse(reader, nil)
				is.NoErr(err)
				is.Equal(answer.StatusCode, status)
				_, _ = io.Copy(io.Discard, answer.Body)
				for _, piece := range body.pieces[1:] {
					_, err = io.WriteString(c, piece)
					is.NoErr(err)
				}
				gw.config.SetFreshness(time.Minute)
				_, err = io.WriteString(c, "GET /safe/1 HTTP/1.1\r\nHost: h\r\nId: b\r\nKey: k\r\n\r\n")
				is.NoErr(err)
				answer, err = http.ReadResponse(reader, nil)
				is.NoErr(err)
				is.Equal(answer.StatusCode, http.StatusOK)
			})
		}
	}
}

// TestLateBodyIsNotReset guards against a connection that is reset under a caller which still sends
// its body when its time is over, and reads its answer afterwards.
func TestLateBodyIsNotReset(t *testing.T) {
	var runs atomic.Int64
	for name, body := range map[string]sentBody{"length": lengthBody(), "chunked": chunkedBody()} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			gw := newTestGateway(t, 0, echoing(&runs))
			c := gw.dialRaw(t, "POST /unsafe/1 HTTP/1.1\r\nHost: h\r\nId: a\r\nKey: k\r\nPatience: 100\r\n"+body.head)
			for _, piece := range body.pieces {
				time.Sleep(30 * time.Millisecond)
				_, err := io.WriteString(c, piece)
				is.NoErr(err)
			}
			answer, err := http.ReadResponse(bufio.NewReader(c), nil)
			is.NoErr(err)
			is.Equal(answer.StatusCode, http.StatusRequestTimeout)
			is.True(answer.Close)
			_, err = io.Copy(io.Discard, answer.Body)
			is.NoErr(err)
			is.Equal(runs.Load(), int64(0))
		})
	}
}
