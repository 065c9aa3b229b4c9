package main

import (
	"context"
	"slices"
	"testing"

	"cowslipgw/internal/httpanswer/answertest"
)

// TestBrokenAnswersOfAdminAPI guards against an answer of a host that is broken and tells the operator what became of
// an edit.
func TestBrokenAnswersOfAdminAPI(t *testing.T) {
	const accepted = `{"version":5,"hosts_in_force":1,"hosts":1}`
	for _, c := range []struct{ status, body string }{{"200", accepted}, {"409", accepted}, {"504", ""}} {
		for _, answer := range slices.Concat(answertest.Invalid(c.status, c.body), answertest.Truncated(c.status, c.body)) {
			client := adminClient{address: answertest.Serve(t, answer)}
			if _, err := client.put(context.Background(), adminPutRequest{Base: 4}); err == nil {
				t.Errorf("put, %q: no error", answer)
			}
			if _, err := client.get(context.Background()); err == nil {
				t.Errorf("get, %q: no error", answer)
			}
		}
	}
}
