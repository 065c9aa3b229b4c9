package route

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// Priority takes precedence over that of the route when HasPriority is set.
	Priority    int
	HasPriority bool
	// Rate in requests a second and Burst in requests hold for all hosts together.
	// A rate of 0 means no limit.
	Rate  float64
	Burst float64
}

// Limits bound what callers may send.
type Limits struct {
	// HeaderBytes and BodyBytes are the largest header and body; 0 means no limit.
	HeaderBytes int
	BodyBytes   int64
}
