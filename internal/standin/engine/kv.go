package engine

import (
	"net/http"
	"strconv"
	"time"

	"cowslipgw/internal/standin"
)

// kvEntry is the exported cache entry of one message.
type kvEntry struct {
	Hash   uint64 `json:"hash"`
	Tokens int64  `json:"tokens"`
	Depth  int    `json:"depth"`
}

// kvDocument is the body of GET and PUT /v1/kv/{program}. It contains prefix hashes
// instead of tensors.
type kvDocument struct {
	Program uint64    `json:"program"`
	Entries []kvEntry `json:"entries"`
}

func (d *kvDocument) tokens() (sum int64) {
	for _, entry := range d.Entries {
		sum += entry.Tokens
	}
	return sum
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	program, ok := parseKVProgram(w, r)
	if !ok {
		return
	}
	e.mu.Lock()
	document := kvDocument{Program: program, Entries: e.cache.exportEntries(program)}
	e.mu.Unlock()
	if len(document.Entries) == 0 {
		standin.WriteError(w, http.StatusNotFound, "program_not_found", "the program holds no cache here")
		return
	}
	e.simulateTransfer(r, document.tokens())
	standin.WriteJSON(w, http.StatusOK, document)
}

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	program, ok := parseKVProgram(w, r)
	if !ok {
		return
	}
	fence, err := parseDecimalHeader(r.Header, "X-Fence")
	if err != nil {
		standin.WriteError(w, http.StatusBadRequest, "invalid_request", err.Error())
		return
	}
	var document kvDocument
	if !standin.ReadJSON(w, r, &document) {
		return
	}
	e.simulateTransfer(r, document.tokens())
	e.mu.Lock()
	accepted := e.acceptFenceLocked(programFenceKey(program), fence)
	if accepted {
		e.cache.importEntries(program, document.Entries)
	}
	e.mu.Unlock()
	if !accepted {
		standin.WriteError(w, http.StatusConflict, "stale_fence", "the fencing number is older than one that was seen")
		return
	}
	e.load.Refresh()
	w.WriteHeader(http.StatusNoContent)
}

// simulateTransfer waits for the time that a transfer of the tokens takes.
func (e *Engine) simulateTransfer(r *http.Request, tokens int64) {
	if !standin.Sleep(r.Context(), e.settings.KVPerToken*time.Duration(tokens)) {
		standin.AbortConnection()
	}
}

// parseKVProgram returns the program number in the path. If it is invalid, it
// sends a 400 response and returns false.
func parseKVProgram(w http.ResponseWriter, r *http.Request) (uint64, bool) {
	program, err := strconv.ParseUint(r.PathValue("program"), 10, 64)
	if err != nil || program == 0 {
		standin.WriteError(w, http.StatusBadRequest, "invalid_request", "the program is not a positive decimal number")
		return 0, false
	}
	return program, true
}
