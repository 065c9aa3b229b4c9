package peers

// ServiceInFlight counts the requests in flight at one service, by the hashes of its name, of the
// names of routes and of the incarnations of replicas.
type ServiceInFlight struct {
	_        struct{} `cbor:",toarray"`
	Service  uint32
	Routes   map[uint32]uint16
	Replicas map[uint32]uint16
}

// InFlightReports are what this host reports at one moment.
type InFlightReports struct {
	// ByHost holds the reports on this host by the ID of their receiver.
	ByHost map[string][]ServiceInFlight
	// All is sent to all hosts.
	All []ServiceInFlight
}

// inFlightMessages returns messages with the reports.
func (t *Table) inFlightMessages(reports InFlightReports) []Datagram {
	if len(reports.ByHost)+len(reports.All) == 0 {
		return nil
	}
	condition := t.condition()
	t.mu.Lock()
	defer t.mu.Unlock()
	var due []Datagram
	for id, inFlight := range reports.ByHost {
		m := t.members[id]
		if m == nil {
			continue
		}
		message := t.messageLocked(condition)
		message.InFlight = inFlight
		due = append(due, Datagram{[]Host{m.host}, message})
	}
	if len(reports.All) > 0 {
		message := t.messageLocked(condition)
		message.FleetInFlight = reports.All
		due = append(due, Datagram{t.aliveHostsLocked(), message})
	}
	return due
}

// aliveHostsLocked returns all other live hosts.
func (t *Table) aliveHostsLocked() []Host {
	hosts := make([]Host, 0, len(t.members))
	for _, m := range t.members {
		if t.aliveLocked(m) {
			hosts = append(hosts, m.host)
		}
	}
	return hosts
}
