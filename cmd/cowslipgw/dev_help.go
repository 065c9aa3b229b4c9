package main

import (
	"fmt"
	"io"
	"text/template"
)

// devHelp is the text that dev prints when the system is ready.
var devHelp = template.Must(template.New("help").Parse(`ready entry={{.Entry}} key={{.Key}}

A chat call of the program "return-1":
  curl {{.Entry}}/v1/chat/completions -H 'Authorization: Bearer {{.Key}}' \
    -H 'Cowslip-Program: return-1' -H 'Content-Type: application/json' \
    -d '{"model":"assistant","messages":[{"role":"user","content":"My packs are empty."}]}'

A second call of the program; it sends only the new message, since the system keeps the history:
  curl {{.Entry}}/v1/chat/completions -H 'Authorization: Bearer {{.Key}}' \
    -H 'Cowslip-Program: return-1' -H 'Content-Type: application/json' \
    -d '{"model":"assistant","stream":true,"messages":[{"role":"user","content":"Pick them up on Monday."}]}'

A non-idempotent call; it runs once, and a repetition returns the stored answer:
  curl {{.Entry}}/apps/app/pickups -H 'Authorization: Bearer {{.Key}}' \
    -H 'Idempotency-Key: pickup-1' -d '{"packs":4}'

A live status stream, on a route that needs no key:
  curl -N {{.Entry}}/apps/app/status/stream

The entry hosts for callers, and the state of the fleet for operators:
  curl {{.Entry}}/v1/entry-hosts
  curl http://{{.Admin}}/admin/status

Ctrl-C stops the system.
`))

// printHelp prints the ready line and example commands.
func (d *devSystem) printHelp(w io.Writer) {
	data := map[string]string{
		"Entry": "http://" + d.hosts[0].EntryAddress(),
		"Admin": d.hosts[0].AdminAddress(),
		"Key":   d.key,
	}
	if err := devHelp.Execute(w, data); err != nil {
		fmt.Fprintln(w, err)
	}
}
