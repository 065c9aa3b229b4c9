package quota

import (
	"math"
	"time"

	"cowslipgw/internal/boottime"
)

// slotsPerCount is the number of slots of a window that a call reports as one count.
const slotsPerCount = 2

// granter identifies one run of a host that admits requests.
type granter struct {
	host        string
	incarnation int64
}

// received counts the requests of one account that this host had admitted in the window, by the
// host that admitted them.
type received map[granter]*receivedWindow

// receivedWindow counts the requests that one host has admitted.
type receivedWindow struct {
	admitted slidingWindow
	// hosts is the sum, over the requests, of the number of live hosts at the time.
	hosts slidingWindow
}

// add counts n requests that by has admitted while alive hosts were live.
func (r received) add(by granter, n float64, alive int, now boottime.Instant, window time.Duration) {
	w := r[by]
	if w == nil {
		w = &receivedWindow{}
		r[by] = w
	}
	w.advance(now, window)
	w.admitted.add(n)
	w.hosts.add(n * float64(alive))
}

func (w *receivedWindow) advance(now boottime.Instant, window time.Duration) {
	w.admitted.advance(now, window)
	w.hosts.advance(now, window)
}

// except returns the requests that were not admitted by owner; nil without any.
func (r received) except(owner granter, now boottime.Instant, window time.Duration) []PastGrants {
	var all []PastGrants
	for by, w := range r {
		w.advance(now, window)
		if w.admitted.sum == 0 {
			delete(r, by)
			continue
		}
		if by != owner {
			all = append(all, PastGrants{Host: by.host, Incarnation: by.incarnation, Counts: w.counts()})
		}
	}
	return all
}

// counts returns the requests in the window: the element n counts those that are between n and n+1 times
// slotsPerCount slots old.
func (w *receivedWindow) counts() []PastCount {
	var admitted, hosts [windowSlots/slotsPerCount + 1]float64
	for age := range int64(len(w.admitted.slots)) {
		admitted[age/slotsPerCount] += w.admitted.at(age)
		hosts[age/slotsPerCount] += w.hosts.at(age)
	}
	counts := make([]PastCount, len(admitted))
	for n := range counts {
		if admitted[n] > 0 {
			counts[n] = PastCount{Admitted: uint32(admitted[n]), Hosts: uint32(math.Round(hosts[n] / admitted[n]))}
		}
	}
	return counts
}

// elsewhere holds what each host had admitted by other hosts in the window, as of its last call.
type elsewhere map[string]*pastWindow

// pastWindow counts the requests that one host had admitted elsewhere.
type pastWindow struct {
	admitted slidingWindow
	// estimate includes a part of what the hosts had admitted that were lost at that time.
	estimate slidingWindow
}

// set replaces what a host had admitted elsewhere. Factor returns by what a count of a granter is multiplied for the
// estimate, which was made while a number of hosts were live. The requests of a count are taken to be as recent
// as they may be.
func (e elsewhere) set(host string, past []PastGrants, factor func(by granter, hosts int) float64, now boottime.Instant, window time.Duration) {
	if len(past) == 0 {
		delete(e, host)
		return
	}
	w := &pastWindow{}
	w.advance(now, window)
	for _, p := range past {
		by := granter{p.Host, p.Incarnation}
		for n, count := range p.Counts[:min(len(p.Counts), windowSlots/slotsPerCount+1)] {
			if count.Admitted > 0 {
				w.admitted.addAt(int64(n*slotsPerCount), float64(count.Admitted))
				w.estimate.addAt(int64(n*slotsPerCount), factor(by, int(count.Hosts))*float64(count.Admitted))
			}
		}
	}
	e[host] = w
}

func (w *pastWindow) advance(now boottime.Instant, window time.Duration) {
	w.admitted.advance(now, window)
	w.estimate.advance(now, window)
}

// sum returns the number of requests that all hosts had admitted elsewhere in the window, and the estimate.
func (e elsewhere) sum(now boottime.Instant, window time.Duration) (admitted, estimate float64) {
	for host, w := range e {
		w.advance(now, window)
		// Multiplied counts leave a rounding error when they leave the window.
		if w.estimate.sum < 0.5 {
			delete(e, host)
			continue
		}
		admitted += w.admitted.sum
		estimate += w.estimate.sum
	}
	return admitted, estimate
}
