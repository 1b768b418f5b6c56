package ward

import (
	"context"
	"errors"
	"time"
)

// Errors of a Store. An adapter wraps them; callers use errors.Is.
var (
	// ErrConflict says that the key's revision is not the expected one, or that
	// a lease is held by another holder. Nothing was written.
	ErrConflict = errors.New("revision conflict")
	// ErrUnavailable says that the call certainly took no effect.
	ErrUnavailable = errors.New("store unavailable")
	// ErrOutcomeUnknown says that the call may or may not have taken effect. The
	// caller settles it by reading its own attempt id back.
	ErrOutcomeUnknown = errors.New("outcome of the store call unknown")
	// ErrOverBudget says that the call meter refused the call before it was sent.
	ErrOverBudget = errors.New("store call budget used up")
	// ErrLeaseLost says that the lease is no longer held with this fence.
	ErrLeaseLost = errors.New("lease lost")
)

// Record is one key of the store. Revision 0 means that the key is absent.
type Record struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
}

// Lease is a named right that one holder has until Expires. Fence grows each
// time that the lease changes hands.
type Lease struct {
	Name    string    `json:"name"`
	Holder  string    `json:"holder"`
	Fence   uint64    `json:"fence"`
	Expires time.Time `json:"expires"`
}

// Store is the platform's key-value service. Values hold up to one megabyte.
// Every method is one call against the service's rate, a waiting Watch too.
type Store interface {
	// Get reads a key. An absent key has Revision 0 and no error.
	Get(ctx context.Context, key string) (Record, error)
	// CompareAndSwap writes value if the key's revision is still revision (0:
	// the key is absent) and returns the new record. A nil value deletes the
	// key. On ErrConflict it returns the record in force.
	CompareAndSwap(ctx context.Context, key string, revision uint64, value []byte) (Record, error)
	// Watch waits until the key's revision is higher than after, and returns the
	// record; it returns the unchanged record when wait has passed.
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Record, error)
	// Acquire takes a free or lapsed lease for ttl, or returns the one in force
	// with ErrConflict.
	Acquire(ctx context.Context, name, holder string, ttl time.Duration) (Lease, error)
	// Renew prolongs a lease by ttl from now, or fails with ErrLeaseLost.
	Renew(ctx context.Context, lease Lease, ttl time.Duration) (Lease, error)
	// Release gives a lease back. Releasing a lost lease is no error.
	Release(ctx context.Context, lease Lease) error
}

// InstanceState is the state of an instance in the platform's list.
type InstanceState string

// States of an instance.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// Instance is one line of the platform's list.
type Instance struct {
	// Name is the name of the entry or of the upstream.
	Name string `json:"name"`
	// Role is "entry" or "upstream".
	Role string `json:"role"`
	// Address is the IP number and port that peers (of an entry) or requests (of
	// an upstream) are sent to.
	Address    string        `json:"address"`
	DataCentre string        `json:"data-centre"`
	State      InstanceState `json:"state"`
}

// Roles of an instance.
const (
	RoleEntry    = "entry"
	RoleUpstream = "upstream"
)

// Roster is the platform's list of instances. It lags: what it says is a hint.
type Roster interface {
	// Instances returns the list as the platform gives it now.
	Instances(ctx context.Context) ([]Instance, error)
}
