package intake

import (
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"cowslipgw/internal/event"
)

// Intake holds the memory that all listeners of a host share.
type Intake struct {
	memory *Memory
	events *event.Logger

	mu        sync.Mutex
	listeners []*Listener
}

// New returns an Intake whose heads use at most the given number of bytes.
func New(memoryBytes int64, events *event.Logger) *Intake {
	return &Intake{memory: NewMemory(memoryBytes), events: events}
}

func (i *Intake) newReporter(name string) *reporter { return &reporter{name: name, events: i.events} }

// add has the metrics include a listener.
func (i *Intake) add(l *Listener) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.listeners = append(i.listeners, l)
}

// RegisterMetrics registers the metrics of the process's Intake.
func (i *Intake) RegisterMetrics() {
	metrics.GetOrCreateGauge("cowslipgw_intake_memory_bytes", func() float64 { return float64(i.memory.Used()) })
	metrics.GetOrCreateGauge("cowslipgw_intake_connections", func() float64 {
		i.mu.Lock()
		defer i.mu.Unlock()
		open := 0
		for _, l := range i.listeners {
			open += l.openConnections()
		}
		return float64(open)
	})
}
