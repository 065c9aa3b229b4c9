// Package answertest has stand-ins for servers whose answers are broken, for tests of clients.
package answertest

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// Invalid returns answers that do not follow the protocol. They have the status and body of an answer that the client
// would take. The status must have three digits.
func Invalid(status, body string) []string {
	line, fields := "HTTP/1.1 "+status+" X\r\n", fmt.Sprintf("Content-Length: %d\r\n", len(body))
	whole := line + fields + "\r\n" + body
	chunks := chunk(body) + "0\r\n"
	return []string{
		strings.Replace(whole, status, "000", 1),
		strings.Replace(whole, status, "999", 1),
		fmt.Sprintf("HTTP/1.1 000 X\r\nContent-Length: %d\r\n\r\n%s", len(whole), whole),
		fmt.Sprintf("HTTP/1.1 103 X\r\nContent-Length: %d\r\n\r\n%s", len(whole), whole),
		"HTTP/1.1 101 X\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n" + whole,
		"HTTP/1.1 103 X\r\nA b: 1\r\n\r\n" + whole,
		line + "A b: 1\r\n" + fields + "\r\n" + body,
		line + "A\x01b: 1\r\n" + fields + "\r\n" + body,
		line + "A: 1\r\n b\r\n" + fields + "\r\n" + body,
		line + strings.Replace(fields, ":", " :", 1) + "\r\n" + body,
		line + fields + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "\r\n",
		line + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "A b: 1\r\n\r\n",
		strings.Replace(line, "1.1", "1.0", 1) + "Transfer-Encoding: chunked\r\n" + fields + "\r\n" + body,
		strings.Replace(whole, "HTTP/1.1", "HTTP/2.0", 1),
	}
}

// Truncated returns answers with the given status whose connection ends before they do.
func Truncated(status, part string) []string {
	line := "HTTP/1.1 " + status + " X\r\n"
	return []string{
		line + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(part)+1, part),
		line + "Transfer-Encoding: chunked\r\n\r\n" + chunk(part),
		line + "Transfer-Encoding: chunked\r\n\r\n" + chunk(part) + "0\r\n",
	}
}

// chunk returns content as a chunk of a body; an empty chunk would end the body.
func chunk(content string) string {
	if content == "" {
		return ""
	}
	return fmt.Sprintf("%x\r\n%s\r\n", len(content), content)
}

// Serve reads the head of one request on each connection, and the body as far as it has arrived, writes answer and
// closes a little later. It returns the address.
func Serve(t *testing.T, answer string) string {
	t.Helper()
	return Listen(t, func(c net.Conn) {
		defer c.Close()
		if readHead(c) {
			_, _ = io.WriteString(c, answer)
			time.Sleep(5 * time.Millisecond)
		}
	})
}

// ServeReset reads the head of one request on each connection, writes answer and resets the connection. It returns
// the address.
func ServeReset(t *testing.T, answer string) string {
	t.Helper()
	return Listen(t, func(c net.Conn) {
		defer c.Close()
		if readHead(c) {
			_, _ = io.WriteString(c, answer)
		}
		_ = c.(*net.TCPConn).SetLinger(0)
	})
}

// Listen passes each connection to serve, which must close it. It returns the address.
func Listen(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return listener.Addr().String()
}

// readHead reads up to the end of a request's head, and some of its body.
func readHead(c net.Conn) bool {
	var read []byte
	buffer := make([]byte, 2<<10)
	for !bytes.Contains(read, []byte("\r\n\r\n")) {
		n, err := c.Read(buffer)
		if err != nil {
			return false
		}
		read = append(read, buffer[:n]...)
	}
	return true
}
