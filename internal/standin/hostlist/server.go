package hostlist

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"cowslipgw/internal/standin"
)

// Server serves a host list. It is an http.Handler and safe for concurrent use.
//
// GET /hosts returns the list as it was one lag ago. PUT /hosts/{id} adds the
// replica if it is not listed, and otherwise updates the fields that the body
// contains. The state "gone" removes the entry. POST /faults with {"down":true}
// makes the server close the connection of every GET /hosts request without a
// response.
type Server struct {
	mux     *http.ServeMux
	visible *standin.Delayed[[]Replica]

	mu       sync.Mutex
	replicas []Replica
	down     bool
}

// New returns a Server with the given replicas, which are visible immediately.
// Later changes become visible after the lag.
func New(lag time.Duration, replicas ...Replica) *Server {
	s := &Server{mux: http.NewServeMux(), replicas: slices.Clone(replicas)}
	for i := range s.replicas {
		if s.replicas[i].State == "" {
			s.replicas[i].State = Live
		}
	}
	s.visible = standin.NewDelayed(lag, slices.Clone(s.replicas))
	s.mux.HandleFunc("GET /hosts", s.serveList)
	s.mux.HandleFunc("PUT /hosts/{id}", s.servePut)
	s.mux.HandleFunc("POST /faults", s.serveFaults)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetLag changes the lag, which also applies to changes that are not visible yet.
func (s *Server) SetLag(lag time.Duration) { s.visible.SetLag(lag) }

// SetDown sets whether GET /hosts requests are aborted without a response.
func (s *Server) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// Put adds replica or replaces the entry with the same ID. The state Gone removes
// the entry.
func (s *Server) Put(replica Replica) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(replica)
}

// SetState changes the state of the replica with the given ID. It returns false if
// the replica is not listed.
func (s *Server) SetState(id, state string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	index := s.indexLocked(id)
	if index < 0 {
		return false
	}
	replica := s.replicas[index]
	replica.State = state
	s.putLocked(replica)
	return true
}

// Replicas returns the current list, ignoring the lag.
func (s *Server) Replicas() []Replica {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.replicas)
}

// indexLocked returns the index of the replica with the given ID, or -1.
func (s *Server) indexLocked(id string) int {
	return slices.IndexFunc(s.replicas, func(r Replica) bool { return r.ID == id })
}

func (s *Server) putLocked(replica Replica) {
	if replica.State == "" {
		replica.State = Live
	}
	index := s.indexLocked(replica.ID)
	switch {
	case replica.State == Gone && index >= 0:
		s.replicas = slices.Delete(slices.Clone(s.replicas), index, index+1)
	case replica.State == Gone:
		return
	case index >= 0:
		s.replicas[index] = replica
	default:
		s.replicas = append(s.replicas, replica)
	}
	s.visible.Set(slices.Clone(s.replicas))
}

func (s *Server) serveList(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down {
		standin.AbortConnection()
	}
	hosts := s.visible.Get()
	if hosts == nil {
		hosts = []Replica{}
	}
	standin.WriteJSON(w, http.StatusOK, map[string][]Replica{"hosts": hosts})
}

func (s *Server) servePut(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	var replica Replica
	if index := s.indexLocked(r.PathValue("id")); index >= 0 {
		replica = s.replicas[index]
	}
	s.mu.Unlock()
	if !standin.ReadJSON(w, r, &replica) {
		return
	}
	replica.ID = r.PathValue("id")
	switch {
	case !slices.Contains([]string{"", Live, Leaving, Gone}, replica.State):
		standin.WriteError(w, http.StatusBadRequest, "invalid_request", "state must be live, leaving or gone")
		return
	case replica.State != Gone && (replica.Address == "" || replica.Pool == ""):
		standin.WriteError(w, http.StatusBadRequest, "invalid_request", "pool and address are required")
		return
	}
	s.Put(replica)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults struct {
		Down bool `json:"down"`
	}
	if !standin.ReadJSON(w, r, &faults) {
		return
	}
	s.SetDown(faults.Down)
	w.WriteHeader(http.StatusNoContent)
}
