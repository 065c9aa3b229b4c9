package bench

import "time"

// Deployment is one of the two deployments with its workload.
type Deployment struct {
	Name     string
	Hosts    int
	Replicas int
	Engine   EngineSettings
	// ClientDelay and HostDelay are one way, to callers and between hosts and upstreams.
	ClientDelay, HostDelay time.Duration
	Accounts               []Account
	// Loud is the account that misbehaves in noisy-account and that is large in big-yard.
	Loud  int
	kinds []kind
}

// Account is one client account of a workload.
type Account struct {
	Name string
	// Share is the account's part of the pool's work in the steady scenario.
	Share float64
	// Weight is the share in fair queueing that the account's plan grants.
	Weight float64
	// kinds are the relative frequencies of the deployment's kinds of programs.
	kinds []float64
}

// kind describes programs of one kind. Lengths are log-normal: a median and the
// standard deviation of the logarithm, with an upper bound.
type kind struct {
	name     string
	prefixes int
	prefix   int64
	turns    logNormal
	// first is the input of the first turn, message that of a person's answer, and result
	// that of a tool.
	first, message, result, output logNormal
	// person is the probability that a turn is followed by a person's answer.
	person                    float64
	personPause, toolPause    logNormal
	agents                    float64
	agentCount, agentMostSize int
}

// logNormal is a heavy-tailed distribution, cut off at most.
type logNormal struct {
	median, sigma, most float64
}

// deployments returns the deployments that the bench knows.
func deployments() []Deployment {
	return []Deployment{frioRetorno(), retazo()}
}

// frioRetorno: guides for customers with short turns, and sorters for clinic
// buyers that run long with large tool results and sub-agents.
func frioRetorno() Deployment {
	guide := kind{
		name: "guide", prefixes: 3, prefix: 1800,
		turns:   logNormal{5, 0.7, 60},
		first:   logNormal{120, 0.8, 4000},
		message: logNormal{60, 1, 4000},
		result:  logNormal{250, 1, 8000},
		output:  logNormal{90, 0.7, 1000},
		person:  0.4, personPause: logNormal{12, 0.8, 180}, toolPause: logNormal{0.8, 0.8, 30},
	}
	sorter := kind{
		name: "sorter", prefixes: 2, prefix: 4000,
		turns:   logNormal{12, 0.8, 160},
		first:   logNormal{600, 0.9, 16000},
		message: logNormal{100, 1, 4000},
		result:  logNormal{700, 1.2, 20000},
		output:  logNormal{180, 0.8, 2000},
		person:  0.08, personPause: logNormal{20, 0.8, 180}, toolPause: logNormal{1.5, 0.8, 30},
		agents: 0.08, agentCount: 4, agentMostSize: 8,
	}
	large, clinic, small := []float64{0.75, 0.25}, []float64{0.5, 0.5}, []float64{0.9, 0.1}
	return Deployment{
		Name: "frio-retorno", Hosts: 12, Replicas: 8, Engine: defaultEngine(),
		ClientDelay: time.Millisecond, HostDelay: time.Millisecond,
		Loud:  1,
		kinds: []kind{guide, sorter},
		Accounts: []Account{
			{"pharmacy-chain", 0.30, 4, large}, {"clinic-group", 0.25, 4, clinic},
			{"meal-kit-a", 0.12, 2, small}, {"clinic-b", 0.10, 2, clinic},
			{"pharmacy-b", 0.08, 1, large}, {"meal-kit-b", 0.06, 1, small},
			{"clinic-c", 0.05, 1, clinic}, {"pharmacy-c", 0.04, 1, small},
		},
	}
}

// retazo: describers that draft listings from photos, coaches that chat through an
// auction, and imports of a yard's catalogue.
func retazo() Deployment {
	describer := kind{
		name: "describer", prefixes: 2, prefix: 2500,
		turns:   logNormal{3, 0.6, 40},
		first:   logNormal{1500, 0.6, 12000},
		message: logNormal{80, 1, 2000},
		result:  logNormal{400, 1, 8000},
		output:  logNormal{220, 0.6, 1500},
		person:  0.25, personPause: logNormal{15, 0.8, 180}, toolPause: logNormal{1, 0.8, 30},
		agents: 0.05, agentCount: 3, agentMostSize: 4,
	}
	coach := kind{
		name: "coach", prefixes: 2, prefix: 2000,
		turns:   logNormal{10, 0.9, 160},
		first:   logNormal{80, 0.8, 2000},
		message: logNormal{60, 1, 2000},
		result:  logNormal{150, 1, 4000},
		output:  logNormal{70, 0.7, 800},
		person:  0.55, personPause: logNormal{8, 0.9, 180}, toolPause: logNormal{0.4, 0.8, 20},
	}
	catalogue := kind{
		name: "catalogue", prefixes: 1, prefix: 3000,
		turns:   logNormal{20, 0.8, 160},
		first:   logNormal{1200, 0.8, 16000},
		message: logNormal{100, 1, 2000},
		result:  logNormal{900, 1, 16000},
		output:  logNormal{250, 0.7, 2000},
		person:  0, toolPause: logNormal{0.3, 0.8, 20},
		agents: 0.04, agentCount: 3, agentMostSize: 6,
	}
	yard, shop := []float64{0.5, 0.3, 0.2}, []float64{0.45, 0.53, 0.02}
	return Deployment{
		Name: "retazo", Hosts: 12, Replicas: 8, Engine: defaultEngine(),
		ClientDelay: 3 * time.Millisecond, HostDelay: time.Millisecond,
		Loud:  0,
		kinds: []kind{describer, coach, catalogue},
		Accounts: []Account{
			{"lumber-yards", 0.40, 4, yard}, {"tile-chain", 0.16, 2, yard},
			{"metalworks", 0.12, 2, shop}, {"carpenters-a", 0.09, 1, shop},
			{"carpenters-b", 0.08, 1, shop}, {"tiles-b", 0.06, 1, shop},
			{"workshop-a", 0.05, 1, shop}, {"workshop-b", 0.04, 1, shop},
		},
	}
}
