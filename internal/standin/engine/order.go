package engine

// Kinds of order.
const (
	OrderLoad    = "load"
	OrderRelease = "release"
	OrderRole    = "role"
	OrderCancel  = "cancel"
)

// Order is the body of POST /v1/orders.
type Order struct {
	Kind string `json:"kind"`
	// Fence is the fencing number of whoever gives the order.
	Fence uint64 `json:"fence"`
	// Program is released.
	Program uint64 `json:"program,omitempty"`
	// Model, Adapter and Version are loaded; the latter two may be empty.
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
	// Role is taken.
	Role string `json:"role,omitempty"`
	// Call is cancelled.
	Call string `json:"call,omitempty"`
}

// modelName is the name under which a loaded model answers and is stored:
// MODEL[@VERSION][+ADAPTER].
func (o *Order) modelName() string {
	name := o.Model
	if o.Version != "" {
		name += "@" + o.Version
	}
	if o.Adapter != "" {
		name += "+" + o.Adapter
	}
	return name
}
