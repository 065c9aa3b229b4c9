package host_test

import (
	"io"
	"net/http"
	"time"

	"cowslipgw/internal/settings"
	"cowslipgw/internal/standin/app"
	"cowslipgw/internal/standin/engine"
	"cowslipgw/internal/standin/logserver"
	"cowslipgw/internal/structs"
)

// siteConfig configures the size and settings of a site. Zero values mean small defaults.
type siteConfig struct {
	region  structs.Region
	domains []structs.Domain
	hosts   int
	// modelPool and appPool are the names of the pools. engines and apps are their sizes.
	modelPool, appPool string
	engines, apps      int
	engine             engine.Settings
	app                app.Settings
	log                logserver.Settings
	// accounts and plans are the two lists. Key hashes in accounts are written as
	// {key NAME}.
	accounts, plans string
	// changeSettings modifies the settings of every host. It may be nil.
	changeSettings func(*settings.Host)
	// delay is the one-way delay of every link.
	delay time.Duration
	// logOutput receives the events of all hosts. If it is nil, events are discarded.
	logOutput io.Writer
	// wrapReplica wraps the handler of each replica. It may be nil.
	wrapReplica func(replica string, next http.Handler) http.Handler
}

const defaultPlans = `
[plan large]
rate = 1000
burst = 2000
weight = 4
max_tokens = 270000
max_calls = 160
max_wall = 2h
max_depth = 3
models = assistant
routes = pickups, quotes, status

[plan small]
rate = 5
burst = 10
weight = 1
max_tokens = 5000
max_calls = 20
max_wall = 1h
max_depth = 2
models = assistant
routes = pickups

[model assistant]
pool = llm
context = 32768

[route pickups]
pool = app
path = /pickups
methods = POST
open = no
repeat = no

[route quotes]
pool = app
path = /quotes
open = no
repeat = yes

[route status]
pool = app
path = /status
methods = GET
open = yes
repeat = yes
`

const defaultAccounts = `
[account clinic]
plan = large
keys = {key clinic}

[account workshop]
plan = small
keys = {key workshop}
`

func (c *siteConfig) setDefaults() {
	if c.hosts == 0 {
		c.hosts = 6
	}
	if len(c.domains) == 0 {
		c.region = "region"
		c.domains = []structs.Domain{"domain-a", "domain-b", "domain-c"}
	}
	if c.modelPool == "" {
		c.modelPool, c.appPool = "llm", "app"
	}
	if c.engines == 0 {
		c.engines = 2
	}
	if c.apps == 0 {
		c.apps = 2
	}
	if c.accounts == "" {
		c.accounts, c.plans = defaultAccounts, defaultPlans
	}
	if len(c.engine.Models) == 0 {
		c.engine.Models = []string{"assistant"}
	}
	if c.delay == 0 {
		c.delay = time.Millisecond
	}
	if c.logOutput == nil {
		c.logOutput = io.Discard
	}
	if c.wrapReplica == nil {
		c.wrapReplica = func(_ string, next http.Handler) http.Handler { return next }
	}
}
