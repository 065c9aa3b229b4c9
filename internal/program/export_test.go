package program

import "cowslipgw/internal/structs"

// Used returns the tokens that a root has used or reserved.
func (s *State) Used(id structs.ProgramID) int64 {
	r := s.roots[rootKey{"yard", id}]
	if r == nil {
		return 0
	}
	return r.Used + r.Reserved
}

// Size returns the number of entries other than buckets.
func (s *State) Size() int {
	return len(s.roots) + len(s.claims) + len(s.releases) + len(s.numbers) + s.answerBytes
}
