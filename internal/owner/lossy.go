package owner

import (
	"cowslipgw/internal/partition"
	"cowslipgw/internal/program"
)

// MarkLossy changes the state of a partition whose newest copies may be gone: claims
// that are not found count as unknown, and rate buckets start empty. The caller has
// the machine to itself.
func (s *Service) MarkLossy(machine partition.Machine) {
	op, err := program.FromMachine(machine).DecideLossy(s.viewer.View().Number, s.clock())
	if err == nil {
		err = machine.Apply(op)
	}
	if err != nil {
		panic("a partition cannot be marked as lossy: " + err.Error())
	}
}
