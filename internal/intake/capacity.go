package intake

import "syscall"

const (
	// memoryShare is the part of a host's memory for the heads of requests, as a divisor.
	memoryShare = 8
	// connectionMemoryShare is the part of a host's memory for connections, as a divisor, and
	// connectionCost what one takes up in bytes: two buffers of net/http, two stacks and its structures.
	connectionMemoryShare = 8
	connectionCost        = 24 << 10
	// defaultMemory and defaultDescriptors apply to a host without these settings.
	defaultMemory      = 256 << 20
	defaultDescriptors = 1024
)

// Capacity is what a host has for connections.
type Capacity struct {
	// HeadBytes is the memory for heads, in bytes.
	HeadBytes int64
	// Callers, Directory, Hosts and Checks are numbers of connections: of callers, to the directory, of strangers to
	// each port between hosts, and to each of readiness and metrics.
	Callers, Directory, Hosts, Checks int
}

// CapacityOf divides the memory and the descriptors of a host. Zero or less selects a default. The descriptors that
// are left are for connections to replicas, other hosts and the store.
func CapacityOf(memoryBytes int64, descriptors int) Capacity {
	if memoryBytes <= 0 {
		memoryBytes = defaultMemory
	}
	if descriptors <= 0 {
		descriptors = defaultDescriptors
	}
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) == nil && limit.Cur < uint64(descriptors) {
		descriptors = int(limit.Cur)
	}
	connections := int(memoryBytes / connectionMemoryShare / connectionCost)
	share := func(divisor int) int { return max(minConnections, min(descriptors, 2*connections)/divisor) }
	return Capacity{HeadBytes: memoryBytes / memoryShare,
		Callers: share(2), Directory: share(16), Hosts: share(16), Checks: share(32)}
}
