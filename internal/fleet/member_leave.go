package fleet

import (
	"context"

	"github.com/samber/oops"
)

// Leave states that this host drains, and returns when the view says so. The host
// keeps its incarnation and its heartbeats until Left.
func (m *Member) Leave(ctx context.Context) error {
	return m.withdraw(ctx, KindLeaving, func(host Host, found bool) bool { return !found || host.Leaving })
}

// Left takes this host out of the view and returns when the view says so. It does
// not join again.
func (m *Member) Left(ctx context.Context) error {
	return m.withdraw(ctx, KindLeft, func(_ Host, found bool) bool { return !found })
}

// withdraw appends a record about this host until the view shows its effect.
func (m *Member) withdraw(ctx context.Context, kind Kind, done func(Host, bool) bool) error {
	m.mu.Lock()
	m.stopping = true
	incarnation := m.incarnation
	m.mu.Unlock()
	if incarnation == 0 {
		return nil
	}
	self := m.config.Self.ID
	record := Record{Kind: kind, Target: self, TargetIncarnation: incarnation}
	if _, err := m.append(ctx, m.newID(kind), record); err != nil {
		return oops.In("fleet").With("kind", kind).Wrapf(err, "state that this host leaves")
	}
	for {
		changed := m.Changed()
		host, found := m.View().Find(self)
		if done(host, found && host.Incarnation == incarnation) {
			return nil
		}
		select {
		case <-ctx.Done():
			return oops.In("fleet").With("kind", kind).Wrapf(ctx.Err(), "wait for the view without this host")
		case <-changed:
		}
	}
}
