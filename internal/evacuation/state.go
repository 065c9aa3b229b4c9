package evacuation

// State is the set of evacuated failure domains after the records before an offset.
type State struct {
	// End is the offset up to which the operator's partition was read.
	End int64
	// Domains holds the offset of the record that evacuated each domain. It is not changed once the
	// state was passed on.
	Domains map[string]int64
	// Returned holds the offset of the record that ended the last evacuation of each domain, as far
	// as it was read. Hosts that were away for a whole evacuation learn of it so.
	Returned map[string]int64
}
