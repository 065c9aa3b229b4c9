package structs

// HostID identifies one entry host. It is unique in the fleet and comes from the host's
// settings.
type HostID string

// AccountID identifies one client account.
type AccountID string

// ProgramID identifies an agent program within its client account.
type ProgramID string

// PoolName is the name of a pool of upstream replicas.
type PoolName string

// ReplicaID identifies one upstream replica in the host list.
type ReplicaID string

// Domain is the name of a failure domain.
type Domain string

// Region is the name of a region, which contains one or more failure domains.
type Region string

// Offset is the position of a record in a stream of the log service. The first
// record has offset 1; 0 means "before the first record".
type Offset uint64

// Incarnation is the offset of a host's join record. It increases with each start of a
// host and serves as the host's fencing token.
type Incarnation = Offset

// ViewNumber is the offset of the last membership record that a view includes.
type ViewNumber = Offset
