package host

import "cowslipgw/internal/fleet"

// Ready reports whether this host is ready to serve callers.
func (h *Host) Ready() bool {
	return len(h.unreadyReasons()) == 0
}

// unreadyReasons returns the reasons why this host should get no callers. It is empty if
// the host is ready.
func (h *Host) unreadyReasons() []string {
	var reasons []string
	self, ok := h.member.View().Find(h.options.Settings.ID)
	switch {
	case !ok || self.Incarnation != h.member.Incarnation():
		reasons = append(reasons, "the host is not in the fleet's view")
	case self.Leaving:
		reasons = append(reasons, "the host is leaving")
	}
	if !h.freshness.Current() {
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

// View returns this host's current view of the fleet.
func (h *Host) View() *fleet.View {
	return h.member.View()
}

// OwnedPartitions returns the number of partitions that this host owns and serves.
func (h *Host) OwnedPartitions() int {
	return len(h.manager.Owned())
}
