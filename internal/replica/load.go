package replica

// Load is the load that a replica reports with an answer.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Pace is how long work takes at the replica at this moment, as a multiple of the usual
	// time; 0 if the replica does not report it.
	Pace float64
}
