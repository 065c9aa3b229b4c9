package partition_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"cowslipgw/internal/partition"
)

// nopMachine is a state machine without state, so that benchmarks measure only the
// manager.
type nopMachine struct{}

func (nopMachine) Apply([]byte) error        { return nil }
func (nopMachine) Snapshot() ([]byte, error) { return nil, nil }
func (nopMachine) Restore([]byte) error      { return nil }

// BenchmarkPropose measures operations of 200 bytes over the in-memory network with
// many concurrent proposers, as at an owner under load.
func BenchmarkPropose(b *testing.B) {
	for backups := range 3 {
		b.Run(fmt.Sprintf("backups=%d", backups), func(b *testing.B) {
			c := newStatelessCluster(b, backups+1)
			op := make([]byte, 200)
			manager := c.manager(c.Hosts[0])
			owned := manager.Owned()
			b.SetParallelism(20)
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				for i := 0; pb.Next(); i++ {
					ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
					err := manager.Propose(ctx, owned[i%len(owned)], func(partition.StateMachine) ([]byte, error) { return op, nil })
					cancel()
					if err != nil {
						b.Error(err)
						return
					}
				}
			})
		})
	}
}

// BenchmarkProposeAlone measures the latency with a single proposer.
func BenchmarkProposeAlone(b *testing.B) {
	for backups := range 3 {
		b.Run(fmt.Sprintf("backups=%d", backups), func(b *testing.B) {
			c := newStatelessCluster(b, backups+1)
			op := make([]byte, 200)
			manager := c.manager(c.Hosts[0])
			id := manager.Owned()[0]
			for b.Loop() {
				err := manager.Propose(context.Background(), id, func(partition.StateMachine) ([]byte, error) { return op, nil })
				if err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
