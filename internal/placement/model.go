package placement

// Model identifies a model that a replica can load.
type Model struct {
	Name string
	// Adapter and Version are optional.
	Adapter, Version string
}

// FullName returns the name used in load reports and by callers:
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
