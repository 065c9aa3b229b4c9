package structs

// HostID names one entry host. It is unique over the fleet and comes from the
// host's settings.
type HostID string

// AccountID names one client account.
type AccountID string

// ProgramID names an agent program within its client account.
type ProgramID string

// PoolName names a pool of upstream replicas.
type PoolName string

// ReplicaID names one upstream replica within the host list.
type ReplicaID string

// Domain names a failure domain.
type Domain string

// Region names a region, which holds one or more failure domains.
type Region string

// Offset is the position of a record in a stream of the log service. The first
// record has offset 1; 0 means "before the first record".
type Offset uint64

// Incarnation is the offset of a host's join record. It grows with each start of
// a host and serves as its fencing number.
type Incarnation = Offset

// ViewNumber is the offset of the last membership record that a view includes.
type ViewNumber = Offset
