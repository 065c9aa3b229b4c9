package hostlist

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"cowslipgw/internal/standin"
)

// Server is a host list. It is an http.Handler and safe for concurrent use.
//
// GET /hosts returns the list as it was a lag ago. PUT /hosts/{id} changes one
// entry: it adds an unknown replica, and of a known one it replaces what the body
// names. The state "gone" removes it. POST /faults with {"down":true} breaks all
// connections to GET /hosts.
type Server struct {
	mux     *http.ServeMux
	visible *standin.Delayed[[]Replica]

	mu       sync.Mutex
	replicas []Replica
	down     bool
}

// New returns a list whose first entries are visible at once. Later changes
// become visible after the lag.
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

// ServeHTTP answers one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetLag changes the lag.
func (s *Server) SetLag(lag time.Duration) { s.visible.SetLag(lag) }

// SetDown breaks all connections to GET /hosts while down is set.
func (s *Server) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// Put adds or replaces the replica with the same ID; the state Gone removes it.
func (s *Server) Put(replica Replica) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(replica)
}

// SetState changes the state of one replica. It returns false when the replica is
// not in the list.
func (s *Server) SetState(id, state string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.findLocked(id)
	if at < 0 {
		return false
	}
	replica := s.replicas[at]
	replica.State = state
	s.putLocked(replica)
	return true
}

// Replicas returns the list without the lag.
func (s *Server) Replicas() []Replica {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.replicas)
}

func (s *Server) findLocked(id string) int {
	return slices.IndexFunc(s.replicas, func(r Replica) bool { return r.ID == id })
}

func (s *Server) putLocked(replica Replica) {
	if replica.State == "" {
		replica.State = Live
	}
	at := s.findLocked(replica.ID)
	switch {
	case replica.State == Gone && at >= 0:
		s.replicas = slices.Delete(slices.Clone(s.replicas), at, at+1)
	case replica.State == Gone:
		return
	case at >= 0:
		s.replicas[at] = replica
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
	if at := s.findLocked(r.PathValue("id")); at >= 0 {
		replica = s.replicas[at]
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
