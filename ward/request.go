package ward

import (
	"context"
	"net/http"
	"time"
)

// Request is a caller's request whose headers and body have been validated.
type Request struct {
	// ID is set by the entry and unique across the fleet. The upstream echoes it.
	ID    string
	Team  string
	Tier  Tier
	Route string
	Kind  UpstreamKind
	// Serves is the requested model or service.
	Serves  string
	Arrived time.Time
	// Deadline is when the last token must have reached the caller.
	Deadline time.Time
	// FirstToken is the longest time to the first token that counts as in time;
	// zero means that only Deadline counts.
	FirstToken time.Duration
	// PromptTokens is the estimated length of the prompt, MaxOutput the limit of
	// the output length, ExpectOutput the output length used for planning. All are
	// in tokens.
	PromptTokens int
	MaxOutput    int
	ExpectOutput int
	// Prefix holds hashes of prefixes of the prompt, shortest first: hash i covers
	// the first (i+1)*PrefixBlockTokens tokens.
	Prefix []uint64
	// IdempotencyKey is the caller's key. BodyHash is the hash of method, path and
	// body that another request with the same key must match.
	IdempotencyKey string
	BodyHash       uint64
	NonIdempotent  bool
	Stream         bool
	// Method, Path, Header and Body are sent to the upstream. Header contains no
	// hop-by-hop and no internal fields.
	Method string
	Path   string
	Header http.Header
	Body   []byte
}

// PrefixBlockTokens is the number of tokens in one block of a prompt prefix.
const PrefixBlockTokens = 256

// Chunk is a part of an answer. The first chunk holds the head.
type Chunk struct {
	// Status and Header are set on the first chunk only. Status never promises that
	// the request did not run.
	Status int
	Header http.Header
	// Data is the next piece of the body: one complete server-sent event of a
	// stream, or any piece of another body. It is valid until the next call of
	// Answer.Next.
	Data []byte
	// Tokens is the number of output tokens in Data.
	Tokens int
	// CanResume is set on the first chunk only. It reports whether this answer can
	// be continued from a given output token, also by another replica of the same
	// version.
	CanResume bool
	// Last reports whether the answer is complete with this chunk.
	Last bool
}

// Answer is an answer that is being received. It is not safe for concurrent use.
type Answer interface {
	// Next returns the next chunk. It fails with an error of internal/result when
	// the answer is truncated, late, or belongs to another request.
	Next(ctx context.Context) (Chunk, error)
	// Close cancels the rest of the answer at the upstream.
	Close() error
}

// RunState is what is known about whether the upstream ran a request.
type RunState string

// Run states of a request.
const (
	NotRun  RunState = "not-run"
	Ran     RunState = "ran"
	Unknown RunState = "unknown"
)

// Outcome is the result of one dispatch, used as feedback for scheduling and for
// the analysis of versions.
type Outcome struct {
	// Request is the id of the request.
	Request  string
	Upstream string
	Version  string
	Route    string
	// Sizing is the name under which expected times are learned; empty means Route.
	// Routes that are evaluated together have expected times of their own.
	Sizing string
	Tier   Tier
	// OK reports whether the complete answer was received.
	OK bool
	// Cancelled reports whether the caller left or the entry cancelled the request;
	// the outcome is then no evidence against the upstream.
	Cancelled bool
	// Overrun reports whether the request was cancelled since its deadline passed or its
	// caller left before the answer was complete. Total and OutputTokens are then those
	// until the end of the request.
	Overrun bool
	// Connected is false if no connection was made, so that no byte can have reached
	// the upstream.
	Connected    bool
	PromptTokens int
	OutputTokens int
	// FirstToken is the time from dispatch to the first token, 0 if there was none.
	// Total is the time from dispatch to the end.
	FirstToken time.Duration
	Total      time.Duration
	At         time.Time
}

// LoadReport is an upstream's report on its own load. It may be out of date.
type LoadReport struct {
	Upstream string    `json:"upstream"`
	Version  string    `json:"version"`
	At       time.Time `json:"at"`
	// Running and Waiting are numbers of requests, PrefillQueued is the number of
	// queued prompt tokens.
	Running       int `json:"running"`
	Waiting       int `json:"waiting"`
	PrefillQueued int `json:"prefill-queued"`
	// CacheUsed and CacheSize are in tokens of the key-value cache.
	CacheUsed int `json:"cache-used"`
	CacheSize int `json:"cache-size"`
	// Leaving reports whether the upstream is draining: it asks for no new work.
	Leaving bool `json:"leaving"`
}

// CacheEvent reports that an upstream stored or evicted a prompt prefix. Events
// arrive late; a jump in Sequence means that some are missing.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Prefix   uint64 `json:"prefix"`
	Stored   bool   `json:"stored"`
}

// OrderKind is the kind of an Order.
type OrderKind string

// Kinds of order.
const (
	OrderLoadVersion OrderKind = "load-version"
	OrderLoadAdapter OrderKind = "load-adapter"
	OrderChangeRole  OrderKind = "change-role"
)

// Order tells an engine to load a version or an adapter, or to change its role.
// A repeated order keeps its ID.
type Order struct {
	ID       string    `json:"id"`
	Kind     OrderKind `json:"kind"`
	Upstream string    `json:"upstream"`
	Version  string    `json:"version,omitempty"`
	Adapter  string    `json:"adapter,omitempty"`
	Role     string    `json:"role,omitempty"`
	Fence    uint64    `json:"fence"`
}

// Backend communicates with upstreams of one protocol.
type Backend interface {
	// Dispatch sends r to the upstream and returns its answer. resume is the number
	// of output tokens that the caller already has. The error wraps
	// ErrNotConnected if no connection was made.
	Dispatch(ctx context.Context, u Upstream, r *Request, resume int) (Answer, error)
	// Report reads the upstream's load report.
	Report(ctx context.Context, u Upstream) (LoadReport, error)
	// CacheEvents returns the cache events after a sequence number.
	CacheEvents(ctx context.Context, u Upstream, after uint64) ([]CacheEvent, error)
	// Order sends an order. ErrOutcomeUnknown means that the engine may have
	// accepted it, ErrConflict that its fencing number is too old.
	Order(ctx context.Context, u Upstream, o Order) error
}
