package entry

import (
	"encoding/json"
	"testing"

	"cowslipgw/internal/structs"
)

// FuzzChatBody guards against panics, bodies that engines interpret differently from
// the host, and digests that depend on whether the answer is streamed.
func FuzzChatBody(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"hi"}],"stream":true,"tools":[]}`))
	f.Add([]byte(`{"model":"m","messages":[{"role":"user"}],"max_completion_tokens":5,"\u006e":1,"":null}`))
	f.Add([]byte(`{"model":"a","model":"b","messages":[{"role":"tool","content":[{"type":"text"}]}]}`))
	f.Fuzz(func(t *testing.T, in []byte) {
		request, problem := parseChat(in)
		if problem != nil {
			if problem.Run != structs.RunNo || problem.Status != 400 {
				t.Fatalf("%q: %v", in, problem)
			}
			return
		}
		body, err := request.encode(nil, 7)
		if err != nil {
			t.Fatalf("%q: %v", in, err)
		}
		again, problem := parseChat(body)
		if problem != nil {
			t.Fatalf("%q became %q: %v", in, body, problem)
		}
		if again.model != request.model || again.stream != request.stream || again.maxTokens != 7 || len(again.messages) != len(request.messages) {
			t.Fatalf("%q became %q", in, body)
		}
		delete(request.fields, fieldStream)
		delete(request.fields, fieldStreamOptions)
		before := request.digest()
		request.fields[fieldStream] = json.RawMessage("true")
		if request.digest() != before {
			t.Fatalf("%q: the digest depends on stream", in)
		}
	})
}
