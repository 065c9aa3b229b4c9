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
	// Model is loaded; adapters and versions are part of its name.
	Model string `json:"model,omitempty"`
	// Role is taken.
	Role string `json:"role,omitempty"`
	// Call is cancelled.
	Call string `json:"call,omitempty"`
}
