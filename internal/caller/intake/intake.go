// Package intake validates the requests of callers: it builds a ward.Request
// from headers, path and body, or fails with a result code.
//
// # Usage
//
//	in := intake.Intake{Entry: "entry-1", DefaultDeadline: time.Minute}
//	q, err := in.Model(r, body, cfg, now)
//	q, err = in.Service(r, "booking", "/deposits", body, cfg, now)
//
// # Headers
//
//   - Agateward-Team names the team. By default the team is the part of the
//     bearer token before the first dot, so that ordinary clients can name it
//     in their API key ("TEAM" or "TEAM.SECRET").
//   - Agateward-Tier asks for a tier from 1 (top) to 4.
//   - Agateward-Deadline is the time to the last token, such as "20s".
//   - Agateward-Route names the route of a model request. The default is the
//     route with the name of the model, else the model's route of lowest tier.
//   - Idempotency-Key identifies a request that must run at most once.
package intake

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"agateward/internal/result/code"
	"agateward/internal/upstream/header"
	"agateward/ward"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// Header names of a caller's request.
const (
	HeaderTeam     = "Agateward-Team"
	HeaderTier     = "Agateward-Tier"
	HeaderDeadline = "Agateward-Deadline"
	HeaderRoute    = "Agateward-Route"
	HeaderKey      = "Idempotency-Key"
)

// MaxKeyLength is the maximum length of an idempotency key in bytes.
const MaxKeyLength = 255

// Intake validates requests. A zero MaxDeadline means one hour.
type Intake struct {
	// Entry is the prefix of request ids.
	Entry string
	// DefaultDeadline applies to routes without a deadline of their own;
	// MaxDeadline is the longest one that a caller may ask for.
	DefaultDeadline time.Duration
	MaxDeadline     time.Duration
}

// Model validates a model request.
func (in Intake) Model(r *http.Request, body []byte, cfg *ward.Config, now time.Time) (*ward.Request, error) {
	p, err := parsePrompt(body)
	if err != nil {
		return nil, err
	}
	route, err := modelRoute(cfg, p.Model, r.Header.Get(HeaderRoute))
	if err != nil {
		return nil, err
	}
	q, err := in.common(r, route, body, cfg, now)
	if err != nil {
		return nil, err
	}
	p.fill(q, route)
	return q, nil
}

// Service validates a request to a plain service. path is the part of the path
// after the name of the service; the query is taken from r.
func (in Intake) Service(r *http.Request, service, path string, body []byte, cfg *ward.Config, now time.Time) (*ward.Request, error) {
	if err := checkPath(path); err != nil {
		return nil, err
	}
	route, err := serviceRoute(cfg, service, r.Method, path)
	if err != nil {
		return nil, err
	}
	q, err := in.common(r, route, body, cfg, now)
	if err != nil {
		return nil, err
	}
	u := url.URL{Path: path, RawQuery: r.URL.RawQuery}
	q.Path = u.String()
	q.BodyHash = hash(q)
	return q, nil
}

// checkPath rejects paths that an upstream may normalize to a path that another
// route covers.
func checkPath(path string) error {
	if !strings.HasPrefix(path, "/") {
		return code.UnknownRoute.New("the path is empty")
	}
	segments := strings.Split(path[1:], "/")
	for i, s := range segments {
		last := i == len(segments)-1
		if s == "." || s == ".." || (s == "" && !last) || strings.ContainsAny(s, "\\\x00") {
			return code.UnknownRoute.New("the path has an empty or a dot segment")
		}
	}
	return nil
}

// common builds a request from what both kinds have in common.
func (in Intake) common(r *http.Request, route *ward.Route, body []byte, cfg *ward.Config, now time.Time) (*ward.Request, error) {
	team, err := teamOf(r.Header, cfg)
	if err != nil {
		return nil, err
	}
	tier, err := tierOf(r.Header, route, team)
	if err != nil {
		return nil, err
	}
	timeout, err := in.timeoutOf(r.Header, route)
	if err != nil {
		return nil, err
	}
	key, err := keyOf(r.Header, route)
	if err != nil {
		return nil, err
	}
	q := &ward.Request{
		ID: in.Entry + "." + uuid.NewString(), Team: team.Name, Tier: tier, Route: route.Name,
		Kind: route.Kind, Serves: route.Serves, Arrived: now, Deadline: now.Add(timeout),
		FirstToken: route.FirstToken.Std(), IdempotencyKey: key, NonIdempotent: route.NonIdempotent,
		Method: r.Method, Path: r.URL.Path, Header: header.Filter{}.Request(r.Header), Body: body,
	}
	// The answer is relayed event by event, so it must not be compressed.
	q.Header.Del("Accept-Encoding")
	q.BodyHash = hash(q)
	return q, nil
}

// teamOf finds the caller's team and checks its key.
func teamOf(h http.Header, cfg *ward.Config) (*ward.Team, error) {
	token := strings.TrimPrefix(h.Get("Authorization"), "Bearer ")
	name, secret := h.Get(HeaderTeam), token
	prefix, rest, dotted := strings.Cut(token, ".")
	if name == "" {
		name = prefix
	}
	if dotted && prefix == name {
		secret = rest
	}
	for i := range cfg.Teams {
		if cfg.Teams[i].Name == name {
			return &cfg.Teams[i], checkSecret(&cfg.Teams[i], secret)
		}
	}
	if name == "" {
		return nil, code.UnknownTeam.New("no team is given: send %s, or the team's API key", HeaderTeam)
	}
	return nil, code.UnknownTeam.New("team %q is not configured", clip(name))
}

// checkSecret checks a team's secret against its hash in constant time. A team
// without a hash needs no secret.
func checkSecret(t *ward.Team, secret string) error {
	if t.KeyHash == "" {
		return nil
	}
	sum := sha256.Sum256([]byte(secret))
	got := hex.EncodeToString(sum[:])
	if subtle.ConstantTimeCompare([]byte(got), []byte(strings.ToLower(t.KeyHash))) == 1 {
		return nil
	}
	return code.BadTeamKey.New("the key of team %q is wrong", t.Name)
}

// tierOf returns the requested tier, or else the route's, lowered to the team's
// maximum.
func tierOf(h http.Header, route *ward.Route, team *ward.Team) (ward.Tier, error) {
	tier := route.Tier
	if v := h.Get(HeaderTier); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil || n < int(ward.TierTop) || n > int(ward.TierBottom) {
			return 0, code.BadHeader.New("%s %q: allowed is %d to %d", HeaderTier, clip(v), ward.TierTop, ward.TierBottom)
		}
		tier = ward.Tier(n)
		if tier < highestTier(route.MaxTier, route.Tier) {
			return 0, code.TierNotAllowed.New("route %q allows tier %d at the most", route.Name, highestTier(route.MaxTier, route.Tier))
		}
	}
	if tier < team.MaxTier {
		if h.Get(HeaderTier) != "" {
			return 0, code.TierNotAllowed.New("team %q may ask for tier %d at the most", team.Name, team.MaxTier)
		}
		tier = team.MaxTier
	}
	return tier, nil
}

// highestTier returns the highest tier, so the lowest number, that a route with
// this limit and default tier allows. Without a limit it is the default tier.
func highestTier(limit, tier ward.Tier) ward.Tier {
	if limit == 0 {
		return tier
	}
	return min(limit, tier)
}

// timeoutOf returns the time from a request's arrival to its deadline.
func (in Intake) timeoutOf(h http.Header, route *ward.Route) (time.Duration, error) {
	limit := in.MaxDeadline
	if limit == 0 {
		limit = time.Hour
	}
	v := h.Get(HeaderDeadline)
	if v == "" {
		if route.Deadline > 0 {
			return route.Deadline.Std(), nil
		}
		return in.DefaultDeadline, nil
	}
	d, err := time.ParseDuration(v)
	if err != nil || d <= 0 || d > limit {
		return 0, code.BadHeader.New("%s %q: give a duration up to %s, such as 20s", HeaderDeadline, clip(v), limit)
	}
	return d, nil
}

func keyOf(h http.Header, route *ward.Route) (string, error) {
	key := h.Get(HeaderKey)
	if len(h.Values(HeaderKey)) > 1 {
		return "", code.BadHeader.New("%s is given twice", HeaderKey)
	}
	if key == "" && route.NonIdempotent {
		return "", code.KeyRequired.New("route %q is not idempotent: send %s", route.Name, HeaderKey)
	}
	if len(key) > MaxKeyLength {
		return "", code.BadHeader.New("%s is longer than %d bytes", HeaderKey, MaxKeyLength)
	}
	return key, nil
}

// hash returns the hash by which a request with a known idempotency key is
// recognized as the same request.
func hash(q *ward.Request) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(q.Method + "\x00" + q.Serves + "\x00" + q.Path + "\x00")
	_, _ = d.Write(q.Body)
	return d.Sum64()
}

// clip shortens text of a caller for an answer.
func clip(s string) string {
	const limit = 64
	if len(s) > limit {
		return s[:limit] + "..."
	}
	return s
}
