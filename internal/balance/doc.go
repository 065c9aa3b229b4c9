// Package balance assigns the requests of all hosts to the replicas of a busy service. The owner of
// the service, the first live host by rendezvous hashing, knows at each moment which requests it has
// assigned to which replica, so that no request waits at one replica while another has a free slot.
// Nothing is stored. A host that cannot reach the owner chooses a replica by itself.
package balance
