package ward

import (
	"context"
	"net/http"
	"time"
)

// Request is one call of a caller, after its headers and body were checked.
type Request struct {
	// ID is set by the entry and unique over the fleet. The upstream echoes it.
	ID    string
	Team  string
	Tier  Tier
	Route string
	Kind  UpstreamKind
	// Serves is the model or service asked for.
	Serves  string
	Arrived time.Time
	// Deadline is when the last token must have reached the caller.
	Deadline time.Time
	// FirstToken is the time to the first token that counts as in time; zero
	// means that only Deadline counts.
	FirstToken time.Duration
	// PromptTokens is the estimated length of the prompt, MaxOutput the bound of
	// the output, ExpectOutput the output length that is planned with.
	PromptTokens int
	MaxOutput    int
	ExpectOutput int
	// Prefix holds hashes of the prompt's leading blocks, longest last; block i
	// covers the first (i+1)*PrefixBlockTokens tokens.
	Prefix []uint64
	// IdempotencyKey is the caller's key; BodyHash is the hash of method, path
	// and body that a repeat of the key is checked against.
	IdempotencyKey string
	BodyHash       uint64
	NonIdempotent  bool
	Stream         bool
	// Method, Path, Header and Body are what is sent to the upstream. Header
	// holds no hop-by-hop and no internal field.
	Method string
	Path   string
	Header http.Header
	Body   []byte
}

// PrefixBlockTokens is the number of tokens that one block of a prompt prefix
// covers.
const PrefixBlockTokens = 256

// Chunk is a part of an answer: the head first, then pieces of the body.
type Chunk struct {
	// Status and Header are set on the first chunk only.
	Status int
	Header http.Header
	// Data is the next piece of the body: one whole server-sent event of a
	// stream, or any piece of another body. It is valid until the next call.
	Data []byte
	// Tokens is the number of output tokens in Data.
	Tokens int
	// CanResume is set on the first chunk only: the upstream can continue this
	// answer, at another replica of its version too, from an output token on.
	CanResume bool
	// Last says that the answer is whole and ends with this chunk.
	Last bool
}

// Answer is an answer that is being received. It is used by one goroutine.
type Answer interface {
	// Next returns the next chunk. It fails with a *result.Error-kind error when
	// the answer is cut, late, or belongs to another request.
	Next(ctx context.Context) (Chunk, error)
	// Close cancels what is left of the answer at the upstream.
	Close() error
}

// RunState says what is known about a request's execution.
type RunState string

// Run states of a request.
const (
	NotRun  RunState = "not-run"
	Ran     RunState = "ran"
	Unknown RunState = "unknown"
)

// Outcome is how one dispatch ended, as the deciders learn from it.
type Outcome struct {
	// Request is the id of the request.
	Request  string
	Upstream string
	Version  string
	Route    string
	Tier     Tier
	// OK says that the whole answer was received in full.
	OK bool
	// Cancelled says that the caller left or the entry cancelled the request:
	// the outcome is no evidence against the upstream.
	Cancelled bool
	// Connected is false when the connection was never made, so that no byte can
	// have reached the upstream.
	Connected    bool
	PromptTokens int
	OutputTokens int
	// FirstToken is the time from dispatch to the first token, 0 when none came;
	// Total is the time from dispatch to the end.
	FirstToken time.Duration
	Total      time.Duration
	At         time.Time
}

// LoadReport is what an upstream says about its own load. It lags.
type LoadReport struct {
	Upstream string    `json:"upstream"`
	Version  string    `json:"version"`
	At       time.Time `json:"at"`
	// Running and Waiting are requests, PrefillQueued prompt tokens that wait.
	Running       int `json:"running"`
	Waiting       int `json:"waiting"`
	PrefillQueued int `json:"prefill-queued"`
	// CacheUsed and CacheSize are tokens of the key-value cache.
	CacheUsed int `json:"cache-used"`
	CacheSize int `json:"cache-size"`
	// Leaving is the upstream's own word that it wants no new work.
	Leaving bool `json:"leaving"`
}

// CacheEvent tells that an upstream stored or dropped a prompt prefix. Events
// come late, and a jump in Sequence shows a gap.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Prefix   uint64 `json:"prefix"`
	Stored   bool   `json:"stored"`
}

// OrderKind names an order to an engine.
type OrderKind string

// Kinds of order.
const (
	OrderLoadVersion OrderKind = "load-version"
	OrderLoadAdapter OrderKind = "load-adapter"
	OrderChangeRole  OrderKind = "change-role"
)

// Order asks an engine to load something or to change its role. ID is the same
// when the order is repeated.
type Order struct {
	ID       string    `json:"id"`
	Kind     OrderKind `json:"kind"`
	Upstream string    `json:"upstream"`
	Version  string    `json:"version,omitempty"`
	Adapter  string    `json:"adapter,omitempty"`
	Role     string    `json:"role,omitempty"`
	Fence    uint64    `json:"fence"`
}

// Backend reaches one upstream over its own protocol.
type Backend interface {
	// Dispatch hands r to the upstream and returns its answer. resume is the
	// number of output tokens the caller already has. An error of a connection
	// that was never made says so: errors.Is(err, ErrNotConnected).
	Dispatch(ctx context.Context, u Upstream, r *Request, resume int) (Answer, error)
	// Report reads the upstream's load report.
	Report(ctx context.Context, u Upstream) (LoadReport, error)
	// CacheEvents returns the cache events after a sequence number.
	CacheEvents(ctx context.Context, u Upstream, after uint64) ([]CacheEvent, error)
	// Order gives an order. ErrOutcomeUnknown says that it may have been taken;
	// ErrConflict that its fencing number is too old.
	Order(ctx context.Context, u Upstream, o Order) error
}
