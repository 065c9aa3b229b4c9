// Package replica tracks the replicas of upstream services and selects one for each
// attempt: it filters out replicas that must not be used, scores the others and picks
// the one with the lowest score. Each host scores replicas from the results of its own
// attempts and from the load that the replicas report.
package replica
