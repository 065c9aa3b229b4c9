// Package evacuation holds what a host knows of the evacuated failure domains, and how recent that
// knowledge is. Operators write the evacuations into the store. A host that does not reach the store
// asks other hosts.
package evacuation
