package document

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"regexp"
	"strings"
	"time"

	"agateward/internal/ticket/fold"
	"agateward/ward"
)

const (
	// MinWindow is the shortest time from now, or from a move's start, to its
	// deadline.
	MinWindow = 5 * time.Second
	// maxName bounds the length of a name in bytes.
	maxName = 100
	// maxGeneration bounds the hardware generation.
	maxGeneration = 100
)

var nameForm = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]*$`)

// checker collects faults.
type checker struct{ faults []Fault }

func (c *checker) add(key, format string, args ...any) {
	c.faults = append(c.faults, Fault{Key: key, Text: fmt.Sprintf(format, args...)})
}

// Check returns all faults of t against the configuration c in force at now. When
// c is nil, it checks the ticket alone.
func Check(t ward.Ticket, c *ward.Config, now time.Time) []Fault {
	chk := &checker{}
	if t.Number == 0 {
		chk.add("number", "give a number from 1 up that no ticket has yet")
	}
	if strings.TrimSpace(t.Operator) == "" {
		chk.add("operator", "name who hands in the ticket")
	}
	if len(t.Upstreams)+len(t.Routes)+len(t.Teams)+len(t.Moves) == 0 {
		chk.add("", "the ticket changes nothing; give upstreams, routes, teams or moves")
	}
	chk.upstreams(t.Upstreams)
	chk.routes(t.Routes)
	chk.teams(t.Teams)
	chk.moves(t.Moves, now)
	if c == nil || len(chk.faults) > 0 {
		return chk.faults
	}
	next, err := fold.Fold(*c, t, "", now)
	if err != nil {
		// The number and the size have codes of their own, which package
		// acceptance reports.
		return nil
	}
	refs := references{checker: chk, ticket: t, before: *c, after: next, now: now}
	refs.check()
	return chk.faults
}

// object checks the fields that all objects share and reports whether the rest of
// the object is to be checked.
func (c *checker) object(path, name string, ticket uint64, removed bool, seen map[string]bool) bool {
	c.name(path+".name", name)
	if seen[name] {
		c.add(path+".name", "%q stands twice in the ticket; keep one", name)
	}
	seen[name] = true
	if ticket != 0 {
		c.add(path+".ticket", "leave the key out; it is set when the ticket is accepted")
	}
	return !removed
}

func (c *checker) name(path, name string) {
	switch {
	case name == "":
		c.add(path, "give a name")
	case len(name) > maxName || !nameForm.MatchString(name):
		c.add(path, "%q: use up to %d letters, digits, '.', '_', ':' and '-', a letter or digit first", name, maxName)
	}
}

func (c *checker) kind(path string, kind ward.UpstreamKind) {
	if kind != ward.KindEngine && kind != ward.KindService {
		c.add(path, "%q: allowed are %q and %q", kind, ward.KindEngine, ward.KindService)
	}
}

func (c *checker) tier(path string, tier ward.Tier, optional bool) {
	if tier == 0 && optional {
		return
	}
	if tier < ward.TierTop || tier > ward.TierBottom {
		c.add(path, "%d: allowed are %d (shed last) to %d", tier, ward.TierTop, ward.TierBottom)
	}
}

func (c *checker) atLeast(path string, v, bound int) {
	if v < bound {
		c.add(path, "%d: give a number from %d up", v, bound)
	}
}

func (c *checker) upstreams(list []ward.Upstream) {
	seen := map[string]bool{}
	for i, u := range list {
		path := fmt.Sprintf("upstreams[%d]", i)
		if !c.object(path, u.Name, u.Ticket, u.Removed, seen) {
			continue
		}
		c.kind(path+".kind", u.Kind)
		c.name(path+".serves", u.Serves)
		c.name(path+".version", u.Version)
		c.name(path+".data-centre", u.DataCentre)
		if a, err := netip.ParseAddrPort(u.Address); err != nil || a.Port() == 0 {
			c.add(path+".address", "%q: give an IP number with a port, such as 10.1.2.3:8000; host names are not allowed", u.Address)
		}
		if u.Generation < 0 || u.Generation > maxGeneration {
			c.add(path+".generation", "%d: give a number from 1 to %d", u.Generation, maxGeneration)
		}
	}
}

func (c *checker) routes(list []ward.Route) {
	seen := map[string]bool{}
	for i, r := range list {
		path := fmt.Sprintf("routes[%d]", i)
		if !c.object(path, r.Name, r.Ticket, r.Removed, seen) {
			continue
		}
		c.kind(path+".kind", r.Kind)
		c.name(path+".serves", r.Serves)
		c.name(path+".version", r.Version)
		c.tier(path+".tier", r.Tier, false)
		c.tier(path+".max-tier", r.MaxTier, true)
		if r.MaxTier != 0 && r.MaxTier > r.Tier {
			c.add(path+".max-tier", "%d is below the route's own tier %d; give %d or a smaller number", r.MaxTier, r.Tier, r.Tier)
		}
		if r.Deadline <= 0 {
			c.add(path+".deadline", `give a time above 0, such as "30s"`)
		}
		if r.FirstToken < 0 || r.FirstToken > r.Deadline {
			c.add(path+".first-token", "%s: give a time from 0 up to the deadline %s", r.FirstToken, r.Deadline)
		}
		c.atLeast(path+".max-output", r.MaxOutput, 0)
		c.serviceFields(path, r)
	}
}

// serviceFields checks the fields that only routes to services have.
func (c *checker) serviceFields(path string, r ward.Route) {
	for j, m := range r.Methods {
		if m == "" || m != strings.ToUpper(m) {
			c.add(fmt.Sprintf("%s.methods[%d]", path, j), "%q: give a method in capitals, such as POST", m)
		}
	}
	if r.PathPrefix != "" && !strings.HasPrefix(r.PathPrefix, "/") {
		c.add(path+".path-prefix", "%q: begin with a slash", r.PathPrefix)
	}
	if r.Kind == ward.KindEngine && (r.PathPrefix != "" || len(r.Methods) > 0) {
		c.add(path+".path-prefix", "an engine's route has no path-prefix and no methods")
	}
}

func (c *checker) teams(list []ward.Team) {
	seen := map[string]bool{}
	for i, t := range list {
		path := fmt.Sprintf("teams[%d]", i)
		if !c.object(path, t.Name, t.Ticket, t.Removed, seen) {
			continue
		}
		c.atLeast(path+".weight", t.Weight, 0)
		c.atLeast(path+".tokens-per-second", t.TokensPerSecond, 0)
		c.atLeast(path+".in-flight", t.InFlight, 0)
		c.tier(path+".max-tier", t.MaxTier, true)
		if b, err := hex.DecodeString(t.KeyHash); t.KeyHash != "" && (err != nil || len(b) != 32) {
			c.add(path+".key-hash", "give the SHA-256 of the key as 64 hex digits")
		}
	}
}

func (c *checker) moves(list []ward.Move, now time.Time) {
	seen := map[string]bool{}
	for i, m := range list {
		path := fmt.Sprintf("moves[%d]", i)
		if !c.object(path, m.Name, m.Ticket, m.Removed, seen) {
			continue
		}
		c.name(path+".serves", m.Serves)
		c.name(path+".from", m.From)
		c.name(path+".to", m.To)
		if m.From == m.To && m.To != "" {
			c.add(path+".to", "%q is also the version to move from; give another one", m.To)
		}
		begin := now
		if m.Start.After(now) {
			begin = m.Start
		}
		if !m.Cancelled && m.Deadline.Before(begin.Add(MinWindow)) {
			c.add(path+".deadline", "give a time at least %s after now and after the start", MinWindow)
		}
	}
}
