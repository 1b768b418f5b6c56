package capacity

import (
	"context"
	"time"

	"agateward/internal/bench/hop"
	"agateward/internal/bench/rig"
)

// relaySizes are the measured numbers of output tokens per request.
var relaySizes = []int{20, 60, 180}

// relay measures the processor time of relaying answers.
func (c *Capacity) relay(ctx context.Context) error {
	costs, err := c.relayCosts(ctx)
	if err != nil {
		return err
	}
	const role = "request path"
	c.figure(Figure{Role: role, Name: "relay of one streamed request, processor time", Unit: "ms", Axis: "output tokens", Size: Tokens / Requests}, relaySizes, func(n int) float64 {
		return float64(costs[n]) / float64(time.Millisecond)
	})
	l := c.Figures[len(c.Figures)-1].Line()
	c.Roles = append(c.Roles, Role{
		Name:      "request path: relay",
		State:     "one open stream a running request",
		Messages:  "the answers themselves",
		Mechanism: "net/http on both sides, one event at a time",
		CPU:       (max(l.Intercept, 0)*perNode + l.Slope*Tokens/Nodes) / 1000,
		Memory:    perNode * RequestTime * streamBytes,
	})
	return nil
}

// relayCosts returns the processor time that an entry adds to a request, by the
// number of output tokens.
func (c *Capacity) relayCosts(ctx context.Context) (map[int]time.Duration, error) {
	r := &rig.Rig{Entries: 1, Engines: hop.Engines, Services: 1, Profile: hop.Profile}
	if err := r.Start(ctx); err != nil {
		return nil, err
	}
	defer r.Close()
	costs := make(map[int]time.Duration)
	for _, n := range relaySizes {
		direct, through, err := hop.Load{Tokens: n, Rate: relayTokens / float64(n), Length: relayLength}.Compare(ctx, r, c.Seed)
		if err != nil {
			return nil, err
		}
		costs[n] = through.CPU/time.Duration(through.Requests) - direct.CPU/time.Duration(direct.Requests)
	}
	return costs, nil
}

const (
	// relayTokens is the load of the comparison in tokens per second, about that of
	// one entry of the fleet.
	relayTokens = 7000.0
	relayLength = 3 * time.Second
)

// streamBytes is the memory of one open stream, as measured by "measure relay".
const streamBytes = 36 << 10
