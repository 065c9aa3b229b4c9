package owner

import (
	"cowslipgw/internal/partition"
	"cowslipgw/internal/program"
)

// MarkDataLoss marks a partition whose newest copies may be lost: idempotency keys
// without a claim count as unknown, and rate buckets start empty. The caller must have
// exclusive access to the state machine.
func (s *Service) MarkDataLoss(machine partition.StateMachine) {
	op, err := program.FromStateMachine(machine).DecideDataLoss(s.viewer.View().Number, s.clock())
	if err == nil {
		err = machine.Apply(op)
	}
	if err != nil {
		panic("cannot record the data loss of a partition: " + err.Error())
	}
}
