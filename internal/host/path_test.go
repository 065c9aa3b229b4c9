package host_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestProgramRemembers guards against a history that is lost when each turn of a program
// goes through a different entry host.
func TestProgramRemembers(t *testing.T) {
	runSite(t, siteConfig{}, func(s *site) {
		is := is.New(t)
		for turn := range 6 {
			got := s.send(turn, s.chat("clinic", "return-1", "message"))
			is.NoErr(got.err)
			is.Equal(got.status, 200)
			// The engine counts the messages: two for each earlier turn, and the new one.
			want := []string{"I see 1 ", "I see 3 ", "I see 5 ", "I see 7 ", "I see 9 ", "I see 11 "}[turn]
			is.True(strings.HasPrefix(got.text(), want))
		}
	})
}

// TestKilledOwnerKeepsPrograms guards against a history, claim or budget that is lost with
// its owner. Every host is killed and replaced in turn.
func TestKilledOwnerKeepsPrograms(t *testing.T) {
	runSite(t, siteConfig{}, func(s *site) {
		is := is.New(t)
		is.Equal(s.send(0, s.pickup("clinic", "p-1", "four packs")).status, 200)
		for i := range s.config.hosts {
			next := (i + 1) % s.config.hosts
			got := s.send(next, s.chat("clinic", "return-1", "message"))
			is.Equal(got.status, 200)
			s.kill(i)
			s.await(20*time.Second, "the eviction", func() bool { return len(s.host(next).View().Hosts) == s.config.hosts-1 })
			got = s.send(next, s.chat("clinic", "return-1", "message"))
			is.Equal(got.status, 200)
			is.True(strings.HasPrefix(got.text(), "I see "))
			replay := s.send(next, s.pickup("clinic", "p-1", "four packs"))
			is.Equal(replay.status, 200)
			is.Equal(replay.header.Get("Idempotency-Replayed"), "true")
			s.start(i)
			s.awaitReady()
		}
		is.Equal(s.executions("p-1"), 1)
		got := s.send(0, s.chat("clinic", "return-1", "message"))
		is.True(strings.HasPrefix(got.text(), "I see 25 "))
	})
}
