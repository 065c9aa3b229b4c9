package engine

// Order kinds.
const (
	OrderLoad    = "load"
	OrderRelease = "release"
	OrderRole    = "role"
	OrderCancel  = "cancel"
)

// Order is a control request to the replica, the body of POST /v1/orders.
type Order struct {
	Kind string `json:"kind"`
	// Fence is the fencing token of the sender.
	Fence uint64 `json:"fence"`
	// Program is the program whose cache a release order frees.
	Program uint64 `json:"program,omitempty"`
	// Model, Adapter and Version identify the model that a load order loads. Adapter
	// and Version may be empty.
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
	// Role is the role that a role order assigns.
	Role string `json:"role,omitempty"`
	// Call is the ID of the call that a cancel order cancels.
	Call string `json:"call,omitempty"`
}

// modelName returns the name under which the model is stored and served, in the
// form MODEL[@VERSION][+ADAPTER].
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
