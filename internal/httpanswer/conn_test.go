package httpanswer_test

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/httpanswer"
)

// connect returns the two ends of a TCP connection.
func connect(t *testing.T) (*httpanswer.Conn, *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	raw, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	peer, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c := httpanswer.NewConn(raw)
	t.Cleanup(func() {
		_ = c.Close()
		_ = peer.Close()
	})
	return c, peer.(*net.TCPConn)
}

// TestResetReportedToWrite guards against an end of the stream in place of a reset that a write has taken the report of.
func TestResetReportedToWrite(t *testing.T) {
	is := is.New(t)
	c, peer := connect(t)
	_, err := io.WriteString(peer, "part")
	is.NoErr(err)
	is.NoErr(peer.SetLinger(0))
	is.NoErr(peer.Close())
	for err == nil {
		_, err = io.WriteString(c, "x")
		time.Sleep(time.Millisecond)
	}
	_, err = io.ReadAll(c)
	is.True(errors.Is(err, syscall.ECONNRESET))
}

// TestEndDuringBlockedWrite guards against losing what a peer sent that has closed its side only, and against a read
// that waits for a write without end.
func TestEndDuringBlockedWrite(t *testing.T) {
	is := is.New(t)
	c, peer := connect(t)
	_, err := io.WriteString(peer, "whole")
	is.NoErr(err)
	is.NoErr(peer.CloseWrite())
	go func() { _, _ = c.Write(make([]byte, 64<<20)) }()
	time.Sleep(20 * time.Millisecond)
	read := make(chan string, 1)
	go func() {
		got, err := io.ReadAll(c)
		if err != nil {
			got = []byte(err.Error())
		}
		read <- string(got)
	}()
	select {
	case got := <-read:
		is.Equal(got, "whole")
	case <-time.After(5 * time.Second):
		t.Fatal("read has not ended")
	}
}

// TestAnswerBeforeItsRequest guards against an answer that passes unchecked because its head arrived before its request
// was assigned to the connection.
func TestAnswerBeforeItsRequest(t *testing.T) {
	is := is.New(t)
	c, peer := connect(t)
	_, err := io.WriteString(peer, "HTTP/1.1 200 OK\r\nA b: 1\r\n\r\n")
	is.NoErr(err)
	_, err = c.Read(make([]byte, 100))
	is.NoErr(err)
	c.ExpectAnswer()
	is.True(errors.Is(c.HeadErr(), httpanswer.ErrInvalid))
}
