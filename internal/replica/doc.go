// Package replica tracks the replicas of upstream services and chooses one for each
// attempt, in stages: which are feasible, how they rank, which is selected. A host
// judges replicas by its own results and by the load that they report.
package replica
