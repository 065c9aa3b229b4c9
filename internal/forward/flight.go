package forward

import "time"

// processStart is the origin of the times that connections record.
var processStart = time.Now()

// Flight is a request whose answer is not complete.
type Flight struct {
	Addr string
	// QuietSince is when bytes last arrived on the connection, at the earliest the start of the
	// request.
	QuietSince time.Time
}

// Flights returns the requests in flight and the time at which bytes of any replica last arrived.
func (p *Pool) Flights() (flights []Flight, lastRead time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	flights = make([]Flight, 0, len(p.flights))
	for c, addr := range p.flights {
		flights = append(flights, Flight{Addr: addr, QuietSince: c.quietSince()})
	}
	return flights, processStart.Add(time.Duration(p.lastRead.Load()))
}

// CloseQuiet closes the connections to lost addresses on which a request has been in flight without
// any byte since before the given time.
func (p *Pool) CloseQuiet(before time.Time, isLost func(addr string) bool) {
	p.mu.Lock()
	var quiet []*conn
	for c, addr := range p.flights {
		if c.quietSince().Before(before) && isLost(addr) {
			quiet = append(quiet, c)
		}
	}
	p.mu.Unlock()
	for _, c := range quiet {
		c.Close()
	}
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(addr string) {
	p.mu.Lock()
	var idle []*conn
	for t, list := range p.idle {
		if t.addr == addr {
			idle = append(idle, list...)
			delete(p.idle, t)
		}
	}
	p.mu.Unlock()
	for _, c := range idle {
		c.Close()
	}
}

// begin records the start of a request on a connection.
func (p *Pool) begin(t target, c *conn) {
	c.lastRead.Store(int64(time.Since(processStart)))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.flights[c] = t.addr
}

// end records that the answer was read or given up.
func (p *Pool) end(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.flights, c)
}

// quietSince returns when bytes last arrived on the connection, at the earliest the start of the
// request.
func (c *conn) quietSince() time.Time { return processStart.Add(time.Duration(c.lastRead.Load())) }
