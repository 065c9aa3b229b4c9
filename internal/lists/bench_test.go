package lists_test

import (
	"fmt"
	"strings"
	"testing"

	"cowslipgw/internal/lists"
)

// Target sizes from docs/design.md, section 2.
const (
	benchAccounts = 610
	benchModels   = 25
)

// targetLists returns lists of the target size, with one key per account.
func targetLists() (accounts, plans string) {
	var a, p strings.Builder
	for i := range benchAccounts {
		fmt.Fprintf(&a, "[account account-%d]\nplan = plan-%d\nkeys = %s\n", i, i%8, lists.HashKey(fmt.Sprint(i)))
	}
	var models []string
	for i := range benchModels {
		fmt.Fprintf(&p, "[model model-%d]\npool = pool-%d\ncontext = 270000\n", i, i)
		models = append(models, fmt.Sprintf("model-%d", i))
	}
	for i := range 8 {
		fmt.Fprintf(&p, "[plan plan-%d]\nrate = 100\nburst = 200\nweight = 1\nmax_tokens = 270000\nmax_calls = 160\n"+
			"max_wall = 2h\nmax_depth = 3\nmodels = %s\n", i, strings.Join(models, ", "))
	}
	return a.String(), p.String()
}

// BenchmarkChange measures how long a host takes to decode, parse and apply one change.
func BenchmarkChange(b *testing.B) {
	accounts, plans := targetLists()
	record := lists.Record{ID: "r", By: "ana", Accounts: accounts, Plans: plans}
	data, err := record.Encode()
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		decoded, err := lists.DecodeRecord(data)
		if err != nil {
			b.Fatal(err)
		}
		decoded.ID = "r"
		state, steps := lists.Fold(lists.NewState(), lists.OffsetRecord{Offset: 1, Record: decoded})
		if len(steps) != 1 || len(state.Lists.Accounts) != benchAccounts {
			b.Fatalf("%d steps, %d accounts", len(steps), len(state.Lists.Accounts))
		}
	}
	b.ReportMetric(float64(len(data)), "record-B")
}
