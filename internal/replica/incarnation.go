package replica

// Incarnation identifies one run of a replica. Hosts send it to each other as an array.
type Incarnation struct {
	_  struct{} `cbor:",toarray"`
	ID string
	// Born is the start of the run as a Unix time in milliseconds.
	Born int64
}

// Incarnation returns the run of the replica that the record describes.
func (r Record) Incarnation() Incarnation { return Incarnation{ID: r.ID, Born: r.Born} }
