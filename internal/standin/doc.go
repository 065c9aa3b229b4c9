// Package standin holds what the stand-ins for outside systems share. Each
// stand-in speaks the protocol of docs/design.md, section 7, is small and keeps
// its state in memory. Stand-ins serve tests, the bench on one machine and
// `cowslipgw dev`; they run in the test's process over any transport.Network, or
// as processes of their own with `cowslipgw standin`.
package standin
