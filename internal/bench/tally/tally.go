// Package tally counts the outcomes of the load generator's requests: goodput by
// tier, refusals by code, latencies, and every answer that breaks a promise.
//
// # Usage
//
//	var t tally.Tally
//	t.Sent(tier)
//	t.Add(outcome)
//	violations := t.Check(runs)
//	t.WriteTable(os.Stdout)
//
// The zero value is ready to use, and safe for concurrent use.
package tally

import (
	"sync"
	"time"

	"agateward/ward"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is the outcome class of one request.
type Result string

// Results of a request.
const (
	// Good is a complete and correct answer in time, Late one after the deadline.
	Good Result = "good"
	Late Result = "late"
	// Refused is an error answer with a result code.
	Refused Result = "refused"
	// Failed is an error answer without a result code.
	Failed Result = "failed"
	// Broken is a connection that failed before the headers of the answer, Cut an
	// answer that began and was truncated.
	Broken Result = "broken"
	Cut    Result = "cut"
	// Wrong is an answer that doesn't belong to the request, a violation.
	Wrong Result = "wrong"
)

// results lists the results in the order of the table.
var results = []Result{Good, Late, Refused, Failed, Broken, Cut, Wrong}

const (
	// maxTime is the maximum time that a histogram holds, in microseconds.
	maxTime = int64(time.Hour / time.Microsecond)
	// significantDigits is the precision of a histogram.
	significantDigits = 3
)

// Outcome is the outcome of one attempt of a request.
type Outcome struct {
	Tier   ward.Tier
	Result Result
	// Code is the number of the result code, Status the HTTP status; 0 for none.
	Code   int
	Status int
	// Run identifies the run: the key of an order, the hash of a prompt, empty for
	// a lookup. Order is set when it must not run twice.
	Run   string
	Order bool
	// NotSent is set when no connection was made, so the request was not sent.
	NotSent bool
	// FirstToken, Between and Total are zero when they were not measured.
	FirstToken time.Duration
	Between    []time.Duration
	Total      time.Duration
	Tokens     int
	// Detail says what is wrong with a wrong or cut answer.
	Detail string
}

// Tally counts the outcomes of a load run.
type Tally struct {
	mu     sync.Mutex
	tiers  [ward.TierCount]tierCount
	codes  map[int]int
	claims map[string]claim
	wrong  []string
	tokens int
}

// tierCount holds the counts and latencies of one tier.
type tierCount struct {
	sent    int
	results map[Result]int
	first   *hdrhistogram.Histogram
	between *hdrhistogram.Histogram
	total   *hdrhistogram.Histogram
}

// Quantiles are percentiles of one latency.
type Quantiles struct {
	Count int64         `json:"count"`
	P50   time.Duration `json:"p50"`
	P95   time.Duration `json:"p95"`
	P99   time.Duration `json:"p99"`
}

// Tier holds the results of one tier.
type Tier struct {
	Tier    ward.Tier      `json:"tier"`
	Sent    int            `json:"sent"`
	Results map[Result]int `json:"results"`
	// Goodput is the share of the sent requests with a good answer in time.
	Goodput    float64   `json:"goodput"`
	FirstToken Quantiles `json:"first-token"`
	Between    Quantiles `json:"between-tokens"`
	Total      Quantiles `json:"total"`
}

// Sent counts a request at a tier as sent.
func (t *Tally) Sent(at ward.Tier) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tierCounts(at).sent++
}

// Add counts an outcome.
func (t *Tally) Add(o Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x := t.tierCounts(o.Tier)
	x.results[o.Result]++
	record(x.total, o.Total)
	record(x.first, o.FirstToken)
	for _, d := range o.Between {
		record(x.between, d)
	}
	t.tokens += o.Tokens
	if o.Code != 0 {
		t.codes[o.Code]++
	}
	if o.Result == Wrong && len(t.wrong) < maxDetailsPerKind {
		t.wrong = append(t.wrong, o.Detail)
	}
	t.recordClaim(o)
}

// Tiers returns the results of each tier with sent requests.
func (t *Tally) Tiers() []Tier {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Tier
	for i := range t.tiers {
		x := &t.tiers[i]
		if x.sent == 0 {
			continue
		}
		out = append(out, Tier{
			Tier:       ward.Tier(i + 1),
			Sent:       x.sent,
			Results:    x.results,
			Goodput:    float64(x.results[Good]) / float64(x.sent),
			FirstToken: quantiles(x.first),
			Between:    quantiles(x.between),
			Total:      quantiles(x.total),
		})
	}
	return out
}

// Count returns the number of outcomes with a result, over all tiers.
func (t *Tally) Count(r Result) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, x := range t.tiers {
		n += x.results[r]
	}
	return n
}

// Tokens returns the output tokens that were received.
func (t *Tally) Tokens() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tokens
}

// tierCounts returns the counts of a tier. An invalid tier counts as the lowest.
func (t *Tally) tierCounts(at ward.Tier) *tierCount {
	if t.claims == nil {
		t.claims = make(map[string]claim)
		t.codes = make(map[int]int)
	}
	if at < ward.TierTop || at > ward.TierBottom {
		at = ward.TierBottom
	}
	x := &t.tiers[at-1]
	if x.results == nil {
		x.results = make(map[Result]int)
		x.first = hdrhistogram.New(1, maxTime, significantDigits)
		x.between = hdrhistogram.New(1, maxTime, significantDigits)
		x.total = hdrhistogram.New(1, maxTime, significantDigits)
	}
	return x
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	if d > 0 {
		_ = h.RecordValue(min(max(d.Microseconds(), 1), maxTime))
	}
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond }
	return Quantiles{Count: h.TotalCount(), P50: at(50), P95: at(95), P99: at(99)}
}
