package lists_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"cowslipgw/internal/lists"
)

const plansText = `
[plan small]
rate = 2
burst = 10
weight = 1.5
max_tokens = 100000
max_calls = 160
max_wall = 2h
max_depth = 3
models = chat
routes = bids, status

[route status]
pool = auction-app
path = /lots
methods = GET
open = yes
repeat = yes

[route bids]
pool = auction-app
path = /lots/bids
methods = POST

[model chat]
pool = llm-pool
context = 32000
`

var keyA = lists.HashKey("a").String()
var keyB = lists.HashKey("b").String()

func accountsText(a, b string) string {
	return "[account yard]\nplan = small\nkeys = " + a + "\n[account shop]\nplan = small\nkeys = " + b + "\n"
}

// TestParseFaults guards against lists with typing errors that are accepted.
func TestParseFaults(t *testing.T) {
	plan := "[plan p]\nrate=1\nburst=1\n"
	cases := map[string]struct{ accounts, plans, want string }{
		"unknown key":        {"", plan + "brust=2\n", "brust: unknown key"},
		"unknown section":    {"", "[plans p]\n", "unknown section"},
		"key outside":        {"plan=x\n", "", "outside of a section"},
		"duplicate section":  {"", plan + plan, "duplicate section"},
		"spaced duplicate":   {"", plan + "[plan  p]\nrate=1\nburst=1\n", "duplicate section"},
		"duplicate key":      {"", plan + "rate=1\n", "duplicate key"},
		"duplicate, empty":   {"", "[plan p]\nrate=1\nburst=1\nmodels=\nmodels=m\n[model m]\npool=x\ncontext=1\n", "duplicate key"},
		"duplicate, cleared": {"", "[plan p]\nrate=1\nburst=1\nmodels=m\nmodels=\n[model m]\npool=x\ncontext=1\n", "duplicate key"},
		"shared hash":        {"[account a]\nplan=p\nkeys=" + keyA + "\n[account b]\nplan=p\nkeys=" + strings.ToUpper(keyA[7:]), plan, "invalid key hash"},
		"hash on two":        {"[account a]\nplan=p\nkeys=" + keyA + "\n[account b]\nplan=p\nkeys=sha256:" + strings.ToUpper(keyA[7:]), plan, "already belongs to account a"},
		"missing plan":       {"[account a]\nplan=q\n", plan, "no section [plan q]"},
		"missing model":      {"", plan + "models=m\n", "no section [model m]"},
		"missing route":      {"", plan + "routes=r\n", "no section [route r]"},
		"zero rate":          {"", "[plan p]\nrate=0\nburst=1\n", "rate: invalid number"},
		"NaN rate":           {"", "[plan p]\nrate=NaN\nburst=1\n", "rate: invalid number"},
		"infinite rate":      {"", "[plan p]\nrate=Inf\nburst=1\n", "rate: invalid number"},
		"negative burst":     {"", "[plan p]\nrate=1\nburst=-1\n", "burst: invalid number"},
		"absurd burst":       {"", "[plan p]\nrate=1\nburst=99999999999999999999\n", "burst: invalid number"},
		"no burst":           {"", "[plan p]\nrate=1\n", "burst: missing"},
		"bad wall":           {"", plan + "max_wall=2\n", "max_wall: invalid time span"},
		"bad flag":           {"", "[route r]\npool=x\nopen=true\n", "open: invalid value"},
		"bad path":           {"", "[route r]\npool=x\npath=/a/../b\n", "path: invalid path"},
		"bad method":         {"", "[route r]\npool=x\nmethods=get\n", "unknown method"},
		"ambiguous routes":   {"", "[route a]\npool=x\n[route b]\npool=x\nmethods=GET\n", "already matches GET /"},
		"control character":  {"", "[plan p]\x00\n", "control character"},
		"dotted parent":      {"", plan + "[plan p.q]\nburst=1\n", "rate: missing"},
		"not INI":            {"", "[plan p\n", "not valid INI"},
		"no model context":   {"", "[model m]\npool=x\n", "context: missing"},
		"key listed twice":   {"[account a]\nplan=p\nkeys=" + keyA + "," + keyA, plan, "listed twice"},
		"continued by a key": {"", "[plan p]\nrate=1\nburst=\"\"\"1\n\"\"\"\nx=1\n", "unknown key"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			parsed, faults := lists.Parse(c.accounts, c.plans)
			var lines []string
			for _, f := range faults {
				lines = append(lines, f.String())
			}
			all := strings.Join(lines, "\n")
			if parsed != nil || !strings.Contains(all, c.want) {
				t.Errorf("faults %q do not contain %q", all, c.want)
			}
			if strings.Contains(all, keyA) {
				t.Errorf("faults print a key hash in full: %s", all)
			}
		})
	}
}

// TestMatchRoute guards against requests that reach a closed route through an open one.
func TestMatchRoute(t *testing.T) {
	is := is.New(t)
	l, faults := lists.Parse(accountsText(keyA, keyB), plansText)
	is.Equal(len(faults), 0)
	cases := []struct {
		method, path string
		match        lists.Match
		route        string
	}{
		{"GET", "/lots", lists.MatchFound, "status"},
		{"GET", "/lots/", lists.MatchFound, "status"},
		{"GET", "/lots//7", lists.MatchFound, "status"},
		{"GET", "/lotsx", lists.MatchNone, ""},
		{"POST", "/lots/bids/3", lists.MatchFound, "bids"},
		{"POST", "//lots///bids", lists.MatchFound, "bids"},
		{"GET", "/lots/bids", lists.MatchMethodNotAllowed, ""},
		{"GET", "/lots/x/../bids", lists.MatchMethodNotAllowed, ""},
		{"GET", "/lots/%62ids", lists.MatchMethodNotAllowed, ""},
		{"POST", "/lots", lists.MatchMethodNotAllowed, ""},
		{"GET", "/lots/..", lists.MatchNone, ""},
		{"GET", "/lots/%2e%2e/admin", lists.MatchInvalidPath, ""},
		{"GET", "/lots/.%2E/admin", lists.MatchInvalidPath, ""},
		{"GET", "/lots%2fbids", lists.MatchInvalidPath, ""},
		{"GET", "/lots/%252e%252e/admin", lists.MatchInvalidPath, ""},
		{"GET", "/lots\\bids", lists.MatchInvalidPath, ""},
		{"GET", "/lots/..;/bids", lists.MatchInvalidPath, ""},
		{"GET", "/lots/%00", lists.MatchInvalidPath, ""},
		{"GET", "/lots/%zz", lists.MatchInvalidPath, ""},
		{"GET", "lots", lists.MatchInvalidPath, ""},
	}
	for _, c := range cases {
		route, _, match := l.MatchRoute("auction-app", c.method, c.path)
		if match != c.match || route.Name != c.route {
			t.Errorf("%s %s: match %v route %q", c.method, c.path, match, route.Name)
		}
	}
	_, cleaned, _ := l.MatchRoute("auction-app", "GET", "/a/../lots//a%20b/./c/")
	is.Equal(cleaned, "/lots/a%20b/c")
}

// FuzzParse guards against panics while a record is applied, which would stop every
// host at once, and against accepted lists that refer to missing sections.
func FuzzParse(f *testing.F) {
	f.Add(accountsText(keyA, keyB), plansText)
	f.Add("[account a]\nkeys = \"\"\"\n", "[plan p]\nrate=%(x)s\n- = 1\n")
	f.Add("\xff\xfe[\x00", "[DEFAULT]\na=b\n[plan p]\n`rate`=1\n\"burst\"=2\n")
	f.Fuzz(func(t *testing.T, accounts, plans string) {
		parsed, faults := lists.Parse(accounts, plans)
		if (parsed == nil) != (len(faults) > 0) {
			t.Fatal("want either lists or faults")
		}
		if parsed == nil {
			return
		}
		for id, account := range parsed.Accounts {
			plan, ok := parsed.PlanOf(id)
			if !ok || plan.Rate <= 0 || plan.Burst <= 0 {
				t.Fatalf("account %q has no usable plan", id)
			}
			for _, key := range account.Keys {
				if owner, _ := parsed.AccountByKey(key); owner != id {
					t.Fatalf("key of %q belongs to %q", id, owner)
				}
			}
		}
		again, faults := lists.Parse(parsed.AccountsText, parsed.PlansText)
		if len(faults) > 0 || len(lists.Diff(parsed, again)) > 0 {
			t.Fatal("the same text parses differently")
		}
	})
}
