package placement

// Model is what a replica can have loaded.
type Model struct {
	Name string
	// Adapter and Version may be empty.
	Adapter, Version string
}

// FullName is how load reports and callers name the model:
// MODEL[@VERSION][+ADAPTER].
func (m Model) FullName() string {
	name := m.Name
	if m.Version != "" {
		name += "@" + m.Version
	}
	if m.Adapter != "" {
		name += "+" + m.Adapter
	}
	return name
}
