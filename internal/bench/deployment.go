package bench

import "time"

// Deployment describes one of the two deployments and its workload.
type Deployment struct {
	Name     string
	Hosts    int
	Replicas int
	Engine   EngineSettings
	// ClientDelay is the one-way network delay between clients and hosts; HostDelay
	// is the one between hosts, and between hosts and upstreams.
	ClientDelay, HostDelay time.Duration
	Accounts               []Account
	// Noisy is the index of the account that exceeds its rate in noisy-account and
	// that has most of the load in big-yard.
	Noisy int
	kinds []programKind
}

// Account is one client account of a workload.
type Account struct {
	Name string
	// Share is the account's fraction of the pool's work in the steady scenario.
	Share float64
	// Weight is the fair-queueing weight that the account's plan grants.
	Weight float64
	// kinds are the relative frequencies of the deployment's program kinds, in the
	// same order.
	kinds []float64
}

// programKind describes the programs of one kind. Lengths follow a log-normal
// distribution, given by its median, the standard deviation of the logarithm and an
// upper bound.
type programKind struct {
	name         string
	prefixCount  int
	prefixTokens int64
	turns        logNormal
	// Input lengths: firstInput is the first turn's input, userInput a user's
	// message, and toolResult the result of a tool call. output is the length of a
	// completion.
	firstInput, userInput, toolResult, output logNormal
	// userProbability is the probability that the next turn waits for a user's
	// message.
	userProbability            float64
	userThinkTime, toolLatency logNormal
	// subAgentProbability is the probability that a tool turn starts sub-agents.
	subAgentProbability            float64
	maxSubAgents, maxSubAgentTurns int
}

// logNormal is a log-normal distribution truncated at max.
type logNormal struct {
	median, sigma, max float64
}

// deployments returns all deployments.
func deployments() []Deployment {
	return []Deployment{frioRetorno(), retazo()}
}

// frioRetorno returns the deployment of customer guides with short turns, and of
// sorters for clinic buyers, which run long with large tool results and sub-agents.
func frioRetorno() Deployment {
	guide := programKind{
		name: "guide", prefixCount: 3, prefixTokens: 1800,
		turns:           logNormal{5, 0.7, 60},
		firstInput:      logNormal{120, 0.8, 4000},
		userInput:       logNormal{60, 1, 4000},
		toolResult:      logNormal{250, 1, 8000},
		output:          logNormal{90, 0.7, 1000},
		userProbability: 0.4, userThinkTime: logNormal{12, 0.8, 180}, toolLatency: logNormal{0.8, 0.8, 30},
	}
	sorter := programKind{
		name: "sorter", prefixCount: 2, prefixTokens: 4000,
		turns:           logNormal{12, 0.8, 160},
		firstInput:      logNormal{600, 0.9, 16000},
		userInput:       logNormal{100, 1, 4000},
		toolResult:      logNormal{700, 1.2, 20000},
		output:          logNormal{180, 0.8, 2000},
		userProbability: 0.08, userThinkTime: logNormal{20, 0.8, 180}, toolLatency: logNormal{1.5, 0.8, 30},
		subAgentProbability: 0.08, maxSubAgents: 4, maxSubAgentTurns: 8,
	}
	large, clinic, small := []float64{0.75, 0.25}, []float64{0.5, 0.5}, []float64{0.9, 0.1}
	return Deployment{
		Name: "frio-retorno", Hosts: 12, Replicas: 8, Engine: defaultEngine(),
		ClientDelay: time.Millisecond, HostDelay: time.Millisecond,
		Noisy: 1,
		kinds: []programKind{guide, sorter},
		Accounts: []Account{
			{"pharmacy-chain", 0.30, 4, large}, {"clinic-group", 0.25, 4, clinic},
			{"meal-kit-a", 0.12, 2, small}, {"clinic-b", 0.10, 2, clinic},
			{"pharmacy-b", 0.08, 1, large}, {"meal-kit-b", 0.06, 1, small},
			{"clinic-c", 0.05, 1, clinic}, {"pharmacy-c", 0.04, 1, small},
		},
	}
}

// retazo returns the deployment of describers that draft listings from photos,
// coaches that chat during an auction, and imports of a yard's catalogue.
func retazo() Deployment {
	describer := programKind{
		name: "describer", prefixCount: 2, prefixTokens: 2500,
		turns:           logNormal{3, 0.6, 40},
		firstInput:      logNormal{1500, 0.6, 12000},
		userInput:       logNormal{80, 1, 2000},
		toolResult:      logNormal{400, 1, 8000},
		output:          logNormal{220, 0.6, 1500},
		userProbability: 0.25, userThinkTime: logNormal{15, 0.8, 180}, toolLatency: logNormal{1, 0.8, 30},
		subAgentProbability: 0.05, maxSubAgents: 3, maxSubAgentTurns: 4,
	}
	coach := programKind{
		name: "coach", prefixCount: 2, prefixTokens: 2000,
		turns:           logNormal{10, 0.9, 160},
		firstInput:      logNormal{80, 0.8, 2000},
		userInput:       logNormal{60, 1, 2000},
		toolResult:      logNormal{150, 1, 4000},
		output:          logNormal{70, 0.7, 800},
		userProbability: 0.55, userThinkTime: logNormal{8, 0.9, 180}, toolLatency: logNormal{0.4, 0.8, 20},
	}
	catalogue := programKind{
		name: "catalogue", prefixCount: 1, prefixTokens: 3000,
		turns:           logNormal{20, 0.8, 160},
		firstInput:      logNormal{1200, 0.8, 16000},
		userInput:       logNormal{100, 1, 2000},
		toolResult:      logNormal{900, 1, 16000},
		output:          logNormal{250, 0.7, 2000},
		userProbability: 0, toolLatency: logNormal{0.3, 0.8, 20},
		subAgentProbability: 0.04, maxSubAgents: 3, maxSubAgentTurns: 6,
	}
	yard, shop := []float64{0.5, 0.3, 0.2}, []float64{0.45, 0.53, 0.02}
	return Deployment{
		Name: "retazo", Hosts: 12, Replicas: 8, Engine: defaultEngine(),
		ClientDelay: 3 * time.Millisecond, HostDelay: time.Millisecond,
		Noisy: 0,
		kinds: []programKind{describer, coach, catalogue},
		Accounts: []Account{
			{"lumber-yards", 0.40, 4, yard}, {"tile-chain", 0.16, 2, yard},
			{"metalworks", 0.12, 2, shop}, {"carpenters-a", 0.09, 1, shop},
			{"carpenters-b", 0.08, 1, shop}, {"tiles-b", 0.06, 1, shop},
			{"workshop-a", 0.05, 1, shop}, {"workshop-b", 0.04, 1, shop},
		},
	}
}
