package fleet

import (
	"context"

	"github.com/samber/oops"
)

// StartLeaving marks this host as leaving, and returns when the view shows it. The host
// keeps its incarnation and continues to send heartbeats until FinishLeaving is called.
func (m *Member) StartLeaving(ctx context.Context) error {
	return m.appendDeparture(ctx, KindLeaving, func(host Host, found bool) bool { return !found || host.Leaving })
}

// FinishLeaving removes this host from the view, and returns when the view shows it. The
// host does not join again.
func (m *Member) FinishLeaving(ctx context.Context) error {
	return m.appendDeparture(ctx, KindLeft, func(_ Host, found bool) bool { return !found })
}

// appendDeparture appends a leaving or left record for this host and waits until the
// view shows its effect. done reports whether it does, given this host's entry in the
// view and whether there is one with its incarnation.
func (m *Member) appendDeparture(ctx context.Context, kind Kind, done func(Host, bool) bool) error {
	m.mu.Lock()
	m.leaving = true
	incarnation := m.incarnation
	m.mu.Unlock()
	if incarnation == 0 {
		return nil
	}
	self := m.config.Self.ID
	record := Record{Kind: kind, Target: self, TargetIncarnation: incarnation}
	if _, err := m.append(ctx, m.newID(kind), record); err != nil {
		return oops.In("fleet").With("kind", kind).Wrapf(err, "append departure record")
	}
	for {
		changed := m.Changed()
		host, found := m.View().Find(self)
		if done(host, found && host.Incarnation == incarnation) {
			return nil
		}
		select {
		case <-ctx.Done():
			return oops.In("fleet").With("kind", kind).Wrapf(ctx.Err(), "wait for departure record to take effect")
		case <-changed:
		}
	}
}
