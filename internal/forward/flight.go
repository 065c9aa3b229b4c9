package forward

import (
	"maps"
	"time"
)

// processStart is the origin of the times that connections record.
var processStart = time.Now()

// maxReadAge is the age from which on it is forgotten when bytes of an address last arrived.
const maxReadAge = time.Minute

// Flight is a request whose answer is not complete.
type Flight struct {
	// Request is the ID of the request, Addr the replica's address.
	Request, Addr string
	// Repeatable is set if the request may be sent again.
	Repeatable bool
	// QuietSince is when bytes last arrived on the connection, at the earliest the start of the
	// request.
	QuietSince time.Time

	start time.Time
}

// Flights returns the requests in flight and the time at which bytes of any replica last arrived.
func (p *Pool) Flights() (flights []Flight, lastRead time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	flights = make([]Flight, 0, len(p.flights))
	for c, f := range p.flights {
		flights = append(flights, f.observed(c))
	}
	return flights, processStart.Add(time.Duration(p.lastRead.Load()))
}

// CloseQuiet closes the connections to lost addresses on which a request has been in flight without
// any byte since before the given time, and returns these requests. isLost is called with the time
// at which bytes last arrived over any connection to the address.
func (p *Pool) CloseQuiet(before time.Time, isLost func(f Flight, lastRead time.Time) bool) []Flight {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.flights {
		p.keepReadLocked(c)
	}
	var quiet []Flight
	for c, f := range p.flights {
		f = f.observed(c)
		if f.QuietSince.Before(before) && isLost(f, p.lastReads[f.Addr]) {
			quiet = append(quiet, f)
			c.Close() // while no other request can begin on it
		}
	}
	return quiet
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
func (p *Pool) begin(r *Request, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.flights[c] = Flight{Request: r.ID, Addr: r.Addr, Repeatable: r.Repeatable, start: time.Now()}
}

// end records that the answer was read or given up.
func (p *Pool) end(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.keepReadLocked(c)
	delete(p.flights, c)
}

// keepReadLocked records when bytes last arrived on a connection with a request in flight.
func (p *Pool) keepReadLocked(c *conn) {
	f, inFlight := p.flights[c]
	if read := c.readAt(); inFlight && read.After(p.lastReads[f.Addr]) {
		p.lastReads[f.Addr] = read
	}
}

// forgetReadsLocked forgets when bytes arrived from addresses that are not used any more.
func (p *Pool) forgetReadsLocked(now time.Time) {
	maps.DeleteFunc(p.lastReads, func(_ string, read time.Time) bool { return now.Sub(read) > maxReadAge })
}

// observed returns the request with the state of its connection.
func (f Flight) observed(c *conn) Flight {
	f.QuietSince = f.start
	if read := c.readAt(); read.After(f.start) {
		f.QuietSince = read
	}
	return f
}

// readAt returns when bytes last arrived on the connection, or when it was opened.
func (c *conn) readAt() time.Time { return processStart.Add(time.Duration(c.lastRead.Load())) }
