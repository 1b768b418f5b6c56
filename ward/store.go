package ward

import (
	"context"
	"errors"
	"time"
)

// Errors of a Store. Implementations wrap them; callers test with errors.Is.
var (
	// ErrConflict means that the key's revision is not the expected one, or that
	// another holder has the lease. Nothing was written.
	ErrConflict = errors.New("revision conflict")
	// ErrUnavailable means that the call is known to have had no effect.
	ErrUnavailable = errors.New("store unavailable")
	// ErrOutcomeUnknown means that the call may or may not have had an effect. The
	// caller finds out by looking for its own attempt id in the store.
	ErrOutcomeUnknown = errors.New("outcome of the store call unknown")
	// ErrConnectionLost means that an open connection to the store ended or fell silent
	// before the answer. The store may be sound: a call on a new connection shows it.
	ErrConnectionLost = errors.New("connection to the store lost")
	// ErrOverBudget means that the local limit on store calls refused the call
	// before it was sent.
	ErrOverBudget = errors.New("store call budget used up")
	// ErrLeaseLost means that the lease is no longer held with this fencing number.
	ErrLeaseLost = errors.New("lease lost")
)

// Record is one key of the store and its value. Revision 0 means that the key is
// absent.
type Record struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
}

// Lease is a named lock that one holder has until Expires. Fence is its fencing
// number, which increases each time the holder changes.
type Lease struct {
	Name    string    `json:"name"`
	Holder  string    `json:"holder"`
	Fence   uint64    `json:"fence"`
	Expires time.Time `json:"expires"`
}

// Store is the platform's key-value service. Values hold up to one megabyte.
// Every method is one call that counts towards the service's rate limit, a
// waiting Watch too.
type Store interface {
	// Get reads a key. An absent key has Revision 0 and no error.
	Get(ctx context.Context, key string) (Record, error)
	// CompareAndSwap writes value if the key still has the given revision (0: the
	// key is absent) and returns the new record. A nil value deletes the key. On
	// ErrConflict it returns the current record.
	CompareAndSwap(ctx context.Context, key string, revision uint64, value []byte) (Record, error)
	// Watch waits until the key's revision is higher than after and returns the
	// record. It returns the unchanged record when wait has passed.
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Record, error)
	// Acquire takes a free or expired lease for ttl, or returns the current lease
	// with ErrConflict.
	Acquire(ctx context.Context, name, holder string, ttl time.Duration) (Lease, error)
	// Renew extends a lease to ttl from now, or fails with ErrLeaseLost.
	Renew(ctx context.Context, lease Lease, ttl time.Duration) (Lease, error)
	// Release gives up a lease. Releasing a lost lease is not an error.
	Release(ctx context.Context, lease Lease) error
}

// InstanceState is the state of an instance in the platform's list.
type InstanceState string

// States of an instance.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// Instance is one item of the platform's list.
type Instance struct {
	// Name is the name of the entry or of the upstream.
	Name string `json:"name"`
	// Role is "entry" or "upstream".
	Role string `json:"role"`
	// Address is the IP address and port: of an entry, for messages of its peers;
	// of an upstream, for requests.
	Address    string        `json:"address"`
	DataCentre string        `json:"data-centre"`
	State      InstanceState `json:"state"`
}

// Roles of an instance.
const (
	RoleEntry    = "entry"
	RoleUpstream = "upstream"
)

// Roster is the platform's list of instances. The list may be out of date, so it
// is only a hint.
type Roster interface {
	// Instances returns the platform's current list.
	Instances(ctx context.Context) ([]Instance, error)
}
