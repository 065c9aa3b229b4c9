// Package standin provides the common parts of the stand-ins for external
// systems. Each stand-in implements its protocol from docs/design.md, section 7,
// and keeps its state in memory. Stand-ins are used by tests, by single-host
// benchmarks and by `cowslipgw dev`. They run in-process over any
// transport.Network, or as separate processes with `cowslipgw standin`.
package standin
