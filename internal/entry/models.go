package entry

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"

	"cowslipgw/internal/structs"
)

// modelOwner is the value of owned_by in the list of models.
const modelOwner = "cowslipgw"

// serveModels handles GET /v1/models. It lists the models of the caller's plan.
func (s *Server) serveModels(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet {
		s.writeMethodNotAllowed(w, http.MethodGet)
		return
	}
	caller, problem := s.authenticate(r.Header)
	if problem != nil {
		s.writeProblem(w, problem)
		return
	}
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		OwnedBy string `json:"owned_by"`
	}
	models := []model{}
	for _, name := range slices.Sorted(slices.Values(caller.plan.Models)) {
		if _, ok := caller.lists.Models[name]; ok {
			models = append(models, model{ID: name, Object: "model", OwnedBy: modelOwner})
		}
	}
	s.writeJSON(w, http.StatusOK, map[string]any{"object": "list", "data": models})
}

// serveHealth handles GET /healthz. It succeeds as long as the process serves requests.
func (s *Server) serveHealth(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		s.writeMethodNotAllowed(w, http.MethodGet)
		return
	}
	s.writeJSON(w, http.StatusOK, map[string]string{"status": "ok"})
}

// writeJSON responds with a JSON document.
func (s *Server) writeJSON(w http.ResponseWriter, status int, document any) {
	body, err := json.Marshal(document)
	if err != nil {
		s.writeProblem(w, &structs.Problem{Status: http.StatusInternalServerError, Code: "internal", Detail: err.Error(), Run: structs.RunNo})
		return
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
