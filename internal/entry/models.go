package entry

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"

	"cowslipgw/internal/structs"
)

// modelOwner is the owner that the list of models names.
const modelOwner = "cowslipgw"

// serveModels answers GET /v1/models with the models of the caller's plan.
func (s *Server) serveModels(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet {
		s.refuseMethod(w, http.MethodGet)
		return
	}
	found, problem := s.authenticate(r.Header)
	if problem != nil {
		s.refuse(w, problem)
		return
	}
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		OwnedBy string `json:"owned_by"`
	}
	models := []model{}
	for _, name := range slices.Sorted(slices.Values(found.plan.Models)) {
		if _, ok := found.lists.Models[name]; ok {
			models = append(models, model{ID: name, Object: "model", OwnedBy: modelOwner})
		}
	}
	s.writeJSON(w, http.StatusOK, map[string]any{"object": "list", "data": models})
}

// serveHealth answers GET /healthz: the process serves.
func (s *Server) serveHealth(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		s.refuseMethod(w, http.MethodGet)
		return
	}
	s.writeJSON(w, http.StatusOK, map[string]string{"status": "ok"})
}

// writeJSON answers with a JSON document.
func (s *Server) writeJSON(w http.ResponseWriter, status int, document any) {
	body, err := json.Marshal(document)
	if err != nil {
		s.refuse(w, &structs.Problem{Status: http.StatusInternalServerError, Code: "internal", Detail: err.Error(), Run: structs.RunNo})
		return
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
