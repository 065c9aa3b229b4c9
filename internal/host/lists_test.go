package host_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"cowslipgw/internal/standin/logserver"
)

// inForceWithin is the time within which an accepted edit must be in force at all hosts
// that can reach the log or a peer.
const inForceWithin = 5 * time.Second

// listsVersion is the version of the lists that a host reports.
type listsVersion struct {
	Version  uint64 `json:"version"`
	Accounts string `json:"accounts"`
}

// listsAt returns the lists in force at a host. Version is 0 if the host gives none.
func (c *chaos) listsAt(i int) listsVersion {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var found listsVersion
	got := c.sendTo(ctx, hostIP(i)+":81", get("/admin/lists", ""))
	if got.err == nil && got.status == 200 {
		_ = json.Unmarshal([]byte(got.body), &found)
	}
	return found
}

// editedAccounts returns an accounts list that is marked with the name of an edit.
func editedAccounts(edit string) string { return defaultAccounts + "# " + edit + "\n" }

// editLists sends an edit of the accounts to the admin API of a host, as an operator does.
func (c *chaos) editLists(i int, base uint64, name string) answer {
	body, _ := json.Marshal(map[string]any{
		"base": base, "by": name, "message": "", "accounts": c.withHashes(editedAccounts(name)), "plans": defaultPlans,
	})
	ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
	defer cancel()
	return c.sendTo(ctx, hostIP(i)+":81", call{method: http.MethodPut, path: "/admin/lists", body: string(body)})
}

// watchVersions checks that the lists version of no host decreases, until stop is closed.
func (c *chaos) watchVersions(stop <-chan struct{}) {
	newest := make([]uint64, c.config.hosts)
	for i := range c.config.hosts {
		c.workers.Go(func() {
			for {
				if found := c.listsAt(i).Version; found > 0 && found < newest[i] {
					c.t.Errorf("lists version of host %d decreased from %d to %d", i, newest[i], found)
				} else if found > 0 {
					newest[i] = found
				}
				select {
				case <-stop:
					return
				case <-time.After(300 * time.Millisecond):
				}
			}
		})
	}
}

// awaitAgreement waits until all hosts report the same version and returns it.
func (c *chaos) awaitAgreement(within time.Duration) listsVersion {
	c.t.Helper()
	var first listsVersion
	c.await(within, "one version at all hosts", func() bool {
		first = c.listsAt(0)
		for i := range c.config.hosts {
			if c.listsAt(i) != first {
				return false
			}
		}
		return first.Version > 0
	})
	return first
}

// TestOneRacingEditWins guards against hosts that disagree about the winner of concurrent
// edits, and against operators that get the wrong result for their edit.
func TestOneRacingEditWins(t *testing.T) {
	t.Parallel()
	keepPair := amongNames("kill-owner", "cut-owner-from-all", "restart-owner", "log-down", "log-loses-answers")
	runChaos(t, siteConfig{}, singlesAndPairs(slices.Concat(hostFaults, logFaults), keepPair), func(c *chaos, faults []fault) {
		c.owner, c.entry = 1, 2
		stop := make(chan struct{})
		c.watchVersions(stop)
		operators := []int{c.owner, c.entry, 3}
		base := c.awaitAgreement(time.Second).Version
		results := make([]answer, len(operators))
		var edits sync.WaitGroup
		for n, i := range operators {
			edits.Go(func() { results[n] = c.editLists(i, base, fmt.Sprint("operator-", n)) })
		}
		c.inject(faults, 6*time.Second)
		edits.Wait()
		final := c.awaitAgreement(10 * time.Second)
		for n, got := range results {
			won := final.Accounts == c.withHashes(editedAccounts(fmt.Sprint("operator-", n)))
			if got.status == 200 && !won || got.status == 409 && won {
				c.t.Errorf("operator %d was answered %d %s; its edit is in force: %v", n, got.status, got.body, won)
			}
		}
		if next := c.editLists(0, base, "late"); next.status != 409 && final.Version > base {
			c.t.Errorf("an edit of an old version was answered %d %s", next.status, next.body)
		}
		if next := c.editLists(5, final.Version, "next"); next.status != 200 {
			c.t.Errorf("an edit of the version in force was answered %d %s", next.status, next.body)
		}
		if got := c.awaitAgreement(inForceWithin); got.Accounts != c.withHashes(editedAccounts("next")) {
			c.t.Errorf("version %d is not the last edit:\n%s", got.Version, got.Accounts)
		}
		close(stop)
		c.workers.Wait()
	})
}

// TestEditReachesHostsCutFromLog guards against a host that can follow the log only
// through its peers and does not get an edit in time.
func TestEditReachesHostsCutFromLog(t *testing.T) {
	t.Parallel()
	runSite(t, siteConfig{}, func(s *site) {
		c := &chaos{site: s}
		for _, i := range []int{0, 2, 3} {
			c.setCut(true, i, logIP)
		}
		time.Sleep(10 * time.Second)
		c.publish("lists-2", 1, replacedClinicKey, defaultPlans)
		c.awaitAgreement(inForceWithin)
		for i := range c.config.hosts {
			if got := c.try(i, "", c.pickupWithoutKey("clinic-2", "x")); got.status != 200 {
				t.Errorf("host %d does not accept the new key: %d %s", i, got.status, got.body)
			}
		}
		for _, i := range []int{0, 2, 3} {
			c.setCut(false, i, logIP)
		}
	})
}

// TestListsSurviveTrimmedLog guards against lists that are lost or revert to an older
// version when every host is replaced after the log has trimmed all edits. The second
// replacement follows a log outage that is longer than the retention time.
func TestListsSurviveTrimmedLog(t *testing.T) {
	t.Parallel()
	const retention = 2 * time.Minute
	runSite(t, siteConfig{log: logserver.Settings{RetainFor: retention}}, func(s *site) {
		c := &chaos{site: s}
		stop := make(chan struct{})
		c.watchVersions(stop)
		base := c.awaitAgreement(time.Second).Version
		for n := range 3 {
			if got := c.editLists(n, base, fmt.Sprint("edit-", n)); got.status != 200 {
				t.Fatalf("edit %d: %d %s", n, got.status, got.body)
			}
			base = c.awaitAgreement(inForceWithin).Version
		}
		replaceAllHosts := func() {
			t.Helper()
			for i := range c.config.hosts {
				c.kill(i)
				time.Sleep(5 * time.Second)
				c.start(i)
				c.awaitReady()
				if got := c.awaitAgreement(inForceWithin).Version; got != base {
					t.Errorf("after host %d was replaced, version %d is in force and not %d", i, got, base)
				}
			}
		}
		time.Sleep(2 * retention)
		replaceAllHosts()
		logFaults[0].set(c, true)
		time.Sleep(2 * retention)
		c.kill(0)
		c.start(0)
		for range 5 {
			if got := c.try(0, "", get("/v1/models", c.key("clinic"))); got.err == nil && got.status != 503 {
				t.Errorf("a host without lists answered %d %s", got.status, got.body)
			}
			time.Sleep(time.Second)
		}
		logFaults[0].set(c, false)
		c.await(retention, "host 0 to serve", func() bool { return c.listsAt(0).Version == base })
		c.awaitReady()
		replaceAllHosts()
		if got := c.editLists(0, base, "last"); got.status != 200 {
			t.Errorf("edit after all: %d %s", got.status, got.body)
		}
		c.awaitAgreement(inForceWithin)
		close(stop)
		c.workers.Wait()
	})
}
