package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
)

// passesOn reports which of the answers reach the caller of a host as an answer of the replica, or make the host
// claim that the request did not run.
func passesOn(t *testing.T, answers []string) (passed []string) {
	t.Helper()
	for _, answer := range answers {
		server := rawReplica(t, answer)
		for _, relayed := range []bool{false, true} {
			for _, path := range []string{"/unsafe/1", "/draft/1"} {
				fleet := newTestFleet(t, 2)
				for _, gw := range fleet {
					gw.addReplica("r", server)
				}
				if relayed {
					fleet[0].links.set(refusingCut)
				}
				reply := fleet[0].call(t, "POST", path, "x", "Id", "a", "Key", "k")
				if reply.status != http.StatusBadGateway || reply.header.Get("Signed") != "" {
					passed = append(passed, fmt.Sprintf("%q, relayed %v, %s: status %d, %q", answer, relayed, path, reply.status, reply.body))
				}
			}
		}
	}
	return passed
}

// shown is the body of an answer, a whole stream.
const shown = "data: x\n\n"

// hidden is an answer in the body of another one.
const hidden = "HTTP/1.1 200 OK\r\nSigned: 1\r\nId: a\r\nContent-Length: 9\r\n\r\n" + shown

// lengthOf returns the head line with the length of a body, and the body.
func lengthOf(body string) string {
	return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}

// TestStatusThatIsNone guards against an answer whose status is none in the protocol: it must not be passed on,
// and it must not be skipped either, since its body may hold the text of another answer.
func TestStatusThatIsNone(t *testing.T) {
	var answers []string
	for _, status := range []string{"000", "001", "099", "+20", "-00", "600", "999", "101"} {
		line := "HTTP/1.1 " + status + " X\r\n"
		answers = append(answers,
			line+"Signed: 1\r\nId: a\r\n"+lengthOf(shown),
			line+"Not-Run: 1\r\nId: a\r\n"+lengthOf(shown),
			line+"Signed: 1\r\nId: a\r\n"+lengthOf(hidden),
			line+"\r\n"+hidden)
	}
	for _, line := range []string{"HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/1.1  200 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 20 OK", "HTTP/1.1 200 O\x00K",
		"HTTP/1.1 200 O\rK", "HTTP/1.1\t200 OK", "http/1.1 200 OK", " HTTP/1.1 200 OK"} {
		answers = append(answers, line+"\r\nSigned: 1\r\nId: a\r\n"+lengthOf(shown))
	}
	for _, passed := range passesOn(t, answers) {
		t.Error(passed)
	}
}

// TestFieldNameThatIsNone guards against an answer whose head has a field name that is none in the protocol. Its
// line must not be passed on, and its body may end elsewhere than net/http reads.
func TestFieldNameThatIsNone(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nSigned: 1\r\nId: a\r\n"
	var answers []string
	for _, name := range []string{"Con tent", "Con\ttent", "Con\x01tent", "Con\x00tent", "Con\x7ftent", "Con\rtent", " Content", "Content ", "Content\t", "", "Con(tent", "Con\xe9tent"} {
		answers = append(answers, head+name+": 1\r\n"+lengthOf(shown))
	}
	answers = append(answers, head+"Content-Length : 9\r\n\r\n"+shown+shown, head+"Content-Length\t: 9\r\n\r\n"+shown+shown,
		head+"Transfer-Encoding : chunked\r\n\r\n9\r\n"+shown+"\r\n0\r\n\r\n")
	for _, passed := range passesOn(t, answers) {
		t.Error(passed)
	}
}

// TestFramingThatIsNone guards against an answer whose head can be read in two ways, so that the end of its body is
// in doubt, and against an interim answer whose body holds the text of another answer.
func TestFramingThatIsNone(t *testing.T) {
	const signedID = "Signed: 1\r\nId: a\r\n"
	const chunks = "\r\n9\r\n" + shown + "\r\n0\r\n\r\n"
	var answers []string
	for _, head := range []string{"HTTP/1.1 200 OK\r\n", "HTTP/1.1 404 Not Found\r\n"} {
		answers = append(answers,
			head+signedID+"X: 1\r\n folded\r\n"+lengthOf(shown),
			head+signedID+"X: 1\r\n\tfolded\r\n"+lengthOf(shown),
			head+signedID+"X: 1\r\n Content-Length: 9\r\n\r\n"+shown+shown,
			head+signedID+"X: \x01\r\n"+lengthOf(shown),
			head+signedID+"no colon\r\n"+lengthOf(shown),
			head+signedID+"Content-Length: 9\r\n"+lengthOf(shown+shown),
			head+signedID+"Content-Length: +9\r\n\r\n"+shown,
			head+signedID+"Content-Length: 9, 9\r\n\r\n"+shown,
			head+signedID+"Content-Length:\r\n\r\n"+shown,
			head+signedID+"Content-Length: 9\r\nTransfer-Encoding: chunked\r\n"+chunks,
			head+signedID+"Transfer-Encoding: gzip, chunked\r\n"+chunks,
			head+signedID+"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"+chunks,
			"HTTP/1.0"+head[len("HTTP/1.1"):]+signedID+"Transfer-Encoding: chunked\r\n"+chunks)
	}
	for _, status := range []string{"100 Continue", "103 Early Hints", "199 X"} {
		answers = append(answers, "HTTP/1.1 "+status+"\r\n"+lengthOf(hidden), "HTTP/1.1 "+status+"\r\nTransfer-Encoding: chunked\r\n\r\n"+hidden,
			"HTTP/1.1 "+status+"\r\nX : 1\r\n\r\n"+hidden)
	}
	answers = append(answers, "HTTP/1.1 204 No Content\r\n"+signedID+lengthOf(hidden), "HTTP/1.1 204 No Content\r\n"+signedID+"Transfer-Encoding: chunked\r\n"+chunks)
	for _, passed := range passesOn(t, answers) {
		t.Error(passed)
	}
}

// TestTrailerThatIsNone guards against skipping fields after a chunked body that are none in the protocol.
func TestTrailerThatIsNone(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nSigned: 1\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n" + shown + "\r\n0\r\n"
	for _, trailer := range []string{"A b: 1\r\n", "A : 1\r\n", "A\x01: 1\r\n", "A\r\n"} {
		for _, path := range []string{"/unsafe/1", "/draft/1"} {
			gw := newTestGateway(t, 0)
			gw.addReplica("r", rawReplica(t, head+trailer+"\r\n"))
			reply := gw.call(t, "POST", path, "x", "Id", "a", "Key", "k")
			if reply.complete && reply.status != http.StatusBadGateway {
				t.Errorf("%q, %s: status %d, %q", trailer, path, reply.status, reply.body)
			}
		}
	}
}

// TestUnusualAnswersAreWhole guards against refusing an answer that the protocol allows.
func TestUnusualAnswersAreWhole(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nSigned: 1\r\nId: a\r\n"
	for _, answer := range []string{
		head + lengthOf(shown),
		"HTTP/1.1 200\r\nSigned: 1\r\nId: a\r\n" + lengthOf(shown),
		"HTTP/1.1 200 \r\nSigned: 1\r\nId: a\r\n" + lengthOf(shown),
		"HTTP/1.0 200 OK\r\nSigned: 1\r\nId: a\r\n\r\n" + shown,
		"HTTP/1.1 200 \xc3\xa9t\xe9\tok\r\nSigned: 1\r\nId: a\r\n" + lengthOf(shown),
		"HTTP/1.1 200 OK\nSigned: 1\nId: a\nContent-Length: 9\n\n" + shown,
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + head + lengthOf(shown),
		head + "a!#$%&'*+-.^_`|~9:\r\nEmpty: \t \r\nHigh: \xff\xe9\r\n" + lengthOf(shown),
		head + "Content-Length: 9\r\n" + lengthOf(shown),
		head + "transfer-encoding: CHUNKED\r\n\r\n4;x=y\r\ndata\r\n5\r\n: x\n\n\r\n0\r\nAfter: 1\r\n\r\n",
		head + "\r\n" + shown,
	} {
		for _, path := range []string{"/unsafe/1", "/draft/1"} {
			gw := newTestGateway(t, 0)
			gw.addReplica("r", rawReplica(t, answer))
			reply := gw.call(t, "POST", path, "x", "Id", "a", "Key", "k")
			if reply.status != http.StatusOK || !reply.complete || reply.body != shown {
				t.Errorf("%q, %s: status %d, complete %v, %q", answer, path, reply.status, reply.complete, reply.body)
			}
		}
	}
}
