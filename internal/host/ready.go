package host

import "cowslipgw/internal/fleet"

// Ready reports whether this host serves callers.
func (h *Host) Ready() bool {
	return len(h.unready()) == 0
}

// unready says why this host should get no callers; empty when it is ready.
func (h *Host) unready() []string {
	var reasons []string
	self, ok := h.member.View().Find(h.options.Settings.ID)
	switch {
	case !ok || self.Incarnation != h.member.Incarnation():
		reasons = append(reasons, "the host is not in the fleet's view")
	case self.Leaving:
		reasons = append(reasons, "the host is leaving")
	}
	if !h.fresh.Current() {
		reasons = append(reasons, "the lists may be out of date")
	}
	if h.store.Current().Version == 0 {
		reasons = append(reasons, "no lists are in force")
	}
	if !h.directory.Ready() {
		reasons = append(reasons, "the host list was not read yet")
	}
	return reasons
}

// View returns the fleet as this host sees it.
func (h *Host) View() *fleet.View {
	return h.member.View()
}

// OwnedPartitions counts the partitions that this host serves as their owner.
func (h *Host) OwnedPartitions() int {
	return len(h.manager.Owned())
}
