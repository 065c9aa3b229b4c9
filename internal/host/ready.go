package host

import "cowslipgw/internal/fleet"

// Ready reports whether this host serves callers: it is in the view and not leaving,
// knows the lists in force, and has read the host list.
func (h *Host) Ready() bool {
	self, ok := h.member.View().Find(h.options.Settings.ID)
	if !ok || self.Leaving || self.Incarnation != h.member.Incarnation() {
		return false
	}
	return h.fresh.Current() && h.store.Current().Version > 0 && h.directory.Ready()
}

// View returns the fleet as this host sees it.
func (h *Host) View() *fleet.View {
	return h.member.View()
}

// OwnedPartitions counts the partitions that this host serves as their owner.
func (h *Host) OwnedPartitions() int {
	return len(h.manager.Owned())
}
