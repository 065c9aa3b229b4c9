package fleet

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cowslipgw/internal/logservice"
	"cowslipgw/internal/structs"
)

// stream builds membership records with consecutive offsets that start at 1.
type stream struct {
	records []logservice.Record
}

func (s *stream) add(id string, r Record) structs.Offset {
	data, err := r.Encode()
	if err != nil {
		panic(err)
	}
	offset := structs.Offset(len(s.records) + 1)
	s.records = append(s.records, logservice.Record{Offset: offset, ID: id, Data: data})
	return offset
}

func (s *stream) join(id string) structs.Offset {
	host := Host{ID: structs.HostID(id), Domain: structs.Domain("d" + id[len(id)-1:])}
	return s.add(fmt.Sprintf("join/%s/%d", id, len(s.records)), Record{Kind: KindJoin, Host: &host})
}

func (s *stream) addTargeted(kind Kind, target string, incarnation structs.Incarnation, by string, byIncarnation structs.Incarnation) {
	s.add(fmt.Sprintf("%s/%d", kind, len(s.records)), Record{
		Kind: kind, Target: structs.HostID(target), TargetIncarnation: incarnation,
		By: structs.HostID(by), ByIncarnation: byIncarnation,
	})
}

func replay(records []logservice.Record) *State {
	state := NewState()
	for _, record := range records {
		state.Apply(record)
	}
	return state
}

func ids(view *View) []structs.HostID {
	var all []structs.HostID
	for _, host := range view.Hosts {
		all = append(all, host.ID)
	}
	return all
}

// TestApplyIgnoresDuplicates guards against a retried join record that gives a host a
// second incarnation, and against malformed records that have an effect.
func TestApplyIgnoresDuplicates(t *testing.T) {
	is := is.New(t)
	var s stream
	host := Host{ID: "a"}
	s.add("same", Record{Kind: KindJoin, Host: &host})
	s.add("same", Record{Kind: KindJoin, Host: &host})
	s.add("odd", Record{Kind: "strange"})
	s.records = append(s.records, logservice.Record{Offset: 4, ID: "broken", Data: []byte("{")})
	state := replay(s.records)
	is.Equal(state.View(), &View{Number: 1, Hosts: []Host{{ID: "a", Incarnation: 1}}})
	is.Equal(state.Offset(), structs.Offset(4))
}

// TestEvictionQuorum guards against evictions by too few hosts, by hosts that are no
// longer in the view or on suspicions of an earlier incarnation, and against missing
// evictions.
func TestEvictionQuorum(t *testing.T) {
	is := is.New(t)
	var s stream
	for _, id := range []string{"a", "b", "c", "d"} {
		s.join(id)
	}
	s.addTargeted(KindSuspect, "d", 4, "a", 1)
	s.addTargeted(KindSuspect, "d", 4, "a", 1)
	s.addTargeted(KindSuspect, "d", 3, "b", 2)
	s.addTargeted(KindSuspect, "d", 4, "b", 9)
	is.Equal(len(replay(s.records).View().Hosts), 4)
	s.addTargeted(KindClear, "d", 4, "a", 1)
	s.addTargeted(KindSuspect, "d", 4, "b", 2)
	is.Equal(len(replay(s.records).View().Hosts), 4)
	s.addTargeted(KindSuspect, "d", 4, "c", 3)
	state := replay(s.records)
	is.Equal(ids(state.View()), []structs.HostID{"a", "b", "c"})
	is.Equal(state.View().Number, structs.ViewNumber(len(s.records)))
}

// TestEvictionInSmallFleets guards against a fleet of two that cannot evict a host, and
// against an eviction by one vote in a fleet of three.
func TestEvictionInSmallFleets(t *testing.T) {
	is := is.New(t)
	var two, three stream
	two.join("a")
	two.join("b")
	two.addTargeted(KindSuspect, "b", 2, "a", 1)
	two.addTargeted(KindSuspect, "a", 1, "b", 2)
	is.Equal(ids(replay(two.records).View()), []structs.HostID{"a"})
	for _, id := range []string{"a", "b", "c"} {
		three.join(id)
	}
	three.addTargeted(KindSuspect, "c", 3, "a", 1)
	is.Equal(len(replay(three.records).View().Hosts), 3)
}

// randomStream draws a random sequence of records for up to eight hosts.
func randomStream(t *rapid.T) []logservice.Record {
	var s stream
	incarnations := make(map[string]structs.Incarnation)
	kinds := []Kind{KindJoin, KindJoin, KindSuspect, KindSuspect, KindSuspect, KindClear, KindLeaving, KindLeft}
	host := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f", "g", "h"})
	for range rapid.IntRange(10, 80).Draw(t, "length") {
		kind := rapid.SampledFrom(kinds).Draw(t, "kind")
		target := host.Draw(t, "target")
		by := host.Draw(t, "by")
		if kind == KindJoin {
			incarnations[target] = s.join(target)
			continue
		}
		s.addTargeted(kind, target, incarnations[target], by, incarnations[by])
	}
	return s.records
}

// TestSnapshotEqualsReplay guards against a host that starts from a snapshot and derives
// a different state than a host that applies all records.
func TestSnapshotEqualsReplay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := randomStream(t)
		taken := rapid.IntRange(1, len(records)).Draw(t, "taken")
		placed := rapid.IntRange(taken, len(records)).Draw(t, "placed")
		snapshot := replay(records[:taken]).Snapshot()
		var all stream
		all.records = append(all.records, records[:placed]...)
		all.add("snapshot", Record{Kind: KindSnapshot, Snapshot: &snapshot})
		for _, record := range records[placed:] {
			record.Offset++
			all.records = append(all.records, record)
		}
		want := replay(all.records)
		first := rapid.IntRange(1, taken+1).Draw(t, "first")
		late := NewState()
		late.MarkTrimmed(structs.Offset(first))
		for _, record := range all.records[first-1:] {
			late.Apply(record)
		}
		if !late.Ready() {
			t.Fatal("the snapshot was not restored")
		}
		if diff := cmp.Diff(want.Snapshot(), late.Snapshot()); diff != "" {
			t.Fatalf("the states differ:\n%s", diff)
		}
	})
}

// TestSnapshotWithGap guards against a reader that restores a snapshot although records
// after the snapshot's offset are missing.
func TestSnapshotWithGap(t *testing.T) {
	is := is.New(t)
	var s stream
	s.join("a")
	old := replay(s.records).Snapshot()
	s.join("b")
	s.join("c")
	s.add("snapshot", Record{Kind: KindSnapshot, Snapshot: &old})
	late := NewState()
	late.MarkTrimmed(3)
	late.Apply(s.records[2])
	late.Apply(s.records[3])
	is.True(!late.Ready())
	now := replay(s.records).Snapshot()
	s.add("snapshot/2", Record{Kind: KindSnapshot, Snapshot: &now})
	effect := late.Apply(s.records[4])
	is.True(late.Ready())
	is.True(effect.FromSnapshot)
	is.Equal(ids(effect.View), []structs.HostID{"a", "b", "c"})
}

// TestWatchersSpread guards against watchers that are not spread evenly over the failure
// domains.
func TestWatchersSpread(t *testing.T) {
	is := is.New(t)
	var hosts []Host
	for i := range 12 {
		hosts = append(hosts, Host{ID: structs.HostID(fmt.Sprintf("h%02d", i)), Domain: structs.Domain(fmt.Sprint(i % 3))})
	}
	for _, host := range hosts {
		watchers, voters := Watchers(hosts, host.ID, func(structs.HostID) bool { return false })
		is.Equal(len(watchers), maxWatchers)
		is.Equal(watchers, voters)
		domains := make(map[structs.Domain]int)
		for _, id := range watchers {
			for _, watcher := range hosts {
				if watcher.ID == id {
					domains[watcher.Domain]++
				}
			}
			is.True(id != host.ID)
		}
		is.Equal(len(domains), 3)
		for _, count := range domains {
			is.Equal(count, 2)
		}
	}
}

// TestSnapshotSize logs the size of a snapshot record at the target scale of 350 hosts,
// and guards against one that the log would reject as too large (64 KiB per 100 hosts).
func TestSnapshotSize(t *testing.T) {
	is := is.New(t)
	state := NewState()
	for i := range 350 {
		host := Host{ID: structs.HostID(fmt.Sprintf("host-%03d", i)), Region: "region-a", Domain: "domain-a", EntryAddress: "10.100.100.100:443", ControlAddress: "10.100.100.100:7000"}
		data, err := Record{Kind: KindJoin, Host: &host}.Encode()
		is.NoErr(err)
		state.Apply(logservice.Record{Offset: structs.Offset(i + 1), ID: fmt.Sprint(i), Data: data})
	}
	data, err := json.Marshal(state.Snapshot())
	is.NoErr(err)
	t.Logf("%d bytes at 350 hosts", len(data))
	is.True(len(data) < 224<<10)
}
