package peers

// HandleHeartbeat updates the table with a heartbeat without sending a reply. It reports false
// if the heartbeat is ignored.
func (t *Table) HandleHeartbeat(b Heartbeat) bool {
	_, ok := t.handleHeartbeat(b)
	return ok
}
