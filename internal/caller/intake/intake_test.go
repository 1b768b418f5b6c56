package intake

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"agateward/internal/result/code"
	"agateward/ward"
)

var noon = time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)

func config() *ward.Config {
	sum := sha256.Sum256([]byte("secret"))
	return &ward.Config{
		Routes: []ward.Route{
			{Name: "dietary", Kind: ward.KindEngine, Serves: "writer", Tier: 1, Deadline: ward.Duration(20 * time.Second)},
			{Name: "letters", Kind: ward.KindEngine, Serves: "writer", Tier: 4, MaxTier: 3, MaxOutput: 100},
			{Name: "lookups", Kind: ward.KindService, Serves: "booking", Tier: 2, Methods: []string{"GET"}},
			{Name: "deposits", Kind: ward.KindService, Serves: "booking", Tier: 1, PathPrefix: "/deposits", NonIdempotent: true},
		},
		Teams: []ward.Team{
			{Name: "guests"},
			{Name: "letters", MaxTier: 3},
			{Name: "locked", KeyHash: hex.EncodeToString(sum[:])},
		},
	}
}

const chat = `{"model": "writer", "messages": [{"role": "user", "content": "hello"}]}`

func TestModel(t *testing.T) {
	cases := []struct {
		name    string
		header  []string // pairs
		body    string
		want    code.Code
		tier    ward.Tier
		route   string
		timeout time.Duration
	}{
		{name: "team by header, lowest tier", header: []string{HeaderTeam, "guests"}, body: chat, tier: 4, route: "letters", timeout: time.Minute},
		{name: "team by API key", header: []string{"Authorization", "Bearer guests"}, body: chat, tier: 4, route: "letters", timeout: time.Minute},
		{name: "route and its deadline", header: []string{HeaderTeam, "guests", HeaderRoute, "dietary"}, body: chat, tier: 1, route: "dietary", timeout: 20 * time.Second},
		{name: "deadline asked for", header: []string{HeaderTeam, "guests", HeaderDeadline, "3s"}, body: chat, tier: 4, route: "letters", timeout: 3 * time.Second},
		{name: "team's tier", header: []string{HeaderTeam, "letters", HeaderRoute, "dietary"}, body: chat, tier: 3, route: "dietary", timeout: 20 * time.Second},
		{name: "right key", header: []string{"Authorization", "Bearer locked.secret"}, body: chat, tier: 4, route: "letters", timeout: time.Minute},
		{name: "wrong key", header: []string{"Authorization", "Bearer locked.guess"}, body: chat, want: code.BadTeamKey},
		{name: "no team", body: chat, want: code.UnknownTeam},
		{name: "unknown team", header: []string{HeaderTeam, "x"}, body: chat, want: code.UnknownTeam},
		{name: "tier above the route's", header: []string{HeaderTeam, "guests", HeaderTier, "1"}, body: chat, want: code.TierNotAllowed},
		{name: "tier above the team's", header: []string{HeaderTeam, "letters", HeaderRoute, "dietary", HeaderTier, "1"}, body: chat, want: code.TierNotAllowed},
		{name: "tier is no number", header: []string{HeaderTeam, "guests", HeaderTier, "top"}, body: chat, want: code.BadHeader},
		{name: "deadline is no duration", header: []string{HeaderTeam, "guests", HeaderDeadline, "soon"}, body: chat, want: code.BadHeader},
		{name: "deadline too long", header: []string{HeaderTeam, "guests", HeaderDeadline, "2h"}, body: chat, want: code.BadHeader},
		{name: "long key", header: []string{HeaderTeam, "guests", HeaderKey, strings.Repeat("k", 256)}, body: chat, want: code.BadHeader},
		{name: "unknown model", header: []string{HeaderTeam, "guests"}, body: `{"model": "x", "prompt": "a"}`, want: code.UnknownModel},
		{name: "unknown route", header: []string{HeaderTeam, "guests", HeaderRoute, "x"}, body: chat, want: code.UnknownRoute},
		{name: "no JSON", header: []string{HeaderTeam, "guests"}, body: `{`, want: code.BadBody},
		{name: "no prompt", header: []string{HeaderTeam, "guests"}, body: `{"model": "writer"}`, want: code.BadBody},
	}
	in := Intake{Entry: "entry-1", DefaultDeadline: time.Minute, MaxDeadline: time.Hour}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := request(http.MethodPost, "/v1/chat/completions", c.header)
			q, err := in.Model(r, []byte(c.body), config(), noon)
			if c.want.Number != 0 {
				if !c.want.Is(err) {
					t.Fatalf("error %v, want %s", err, c.want)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			if q.Tier != c.tier || q.Route != c.route || q.Deadline != noon.Add(c.timeout) {
				t.Errorf("tier %d, route %s, deadline %s", q.Tier, q.Route, q.Deadline)
			}
			if q.Header.Get("Authorization") != "" || q.Header.Get(HeaderTeam) != "" {
				t.Error("credentials or internal headers of the caller reach the upstream")
			}
		})
	}
}

func TestService(t *testing.T) {
	cases := []struct {
		name, method, path string
		header             []string
		want               code.Code
		route              string
	}{
		{name: "lookup", method: "GET", path: "/availability", route: "lookups"},
		{name: "longest prefix", method: "POST", path: "/deposits", header: []string{HeaderKey, "k"}, route: "deposits"},
		{name: "below the prefix", method: "GET", path: "/deposits/7", header: []string{HeaderKey, "k"}, route: "deposits"},
		{name: "not a segment", method: "GET", path: "/deposits-list", route: "lookups"},
		{name: "no key", method: "POST", path: "/deposits", want: code.KeyRequired},
		{name: "method of no route", method: "POST", path: "/availability", want: code.UnknownRoute},
		{name: "dot segments", method: "GET", path: "/x/../deposits", want: code.UnknownRoute},
		{name: "empty segment", method: "GET", path: "//deposits", want: code.UnknownRoute},
	}
	in := Intake{DefaultDeadline: time.Minute}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := request(c.method, "/services/booking/x?day=1", append(c.header, HeaderTeam, "guests"))
			q, err := in.Service(r, "booking", c.path, nil, config(), noon)
			if c.want.Number != 0 {
				if !c.want.Is(err) {
					t.Fatalf("error %v, want %s", err, c.want)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			if q.Route != c.route || q.Path != c.path+"?day=1" {
				t.Errorf("route %s, path %s", q.Route, q.Path)
			}
		})
	}
}

func TestBodyHashDiffersByPathAndBody(t *testing.T) {
	in := Intake{DefaultDeadline: time.Minute}
	seen := map[uint64]string{}
	for _, c := range []struct{ path, body string }{
		{"/deposits", "a"}, {"/deposits", "b"}, {"/deposits/a", ""}, {"/deposits/b", ""},
	} {
		r := request(http.MethodPost, "/services/booking/x", []string{HeaderTeam, "guests", HeaderKey, "k"})
		q, err := in.Service(r, "booking", c.path, []byte(c.body), config(), noon)
		if err != nil {
			t.Fatal(err)
		}
		if other, ok := seen[q.BodyHash]; ok {
			t.Errorf("%v hashes as %s", c, other)
		}
		seen[q.BodyHash] = c.path + c.body
	}
}

func TestPrefixesShareLeadingBlocks(t *testing.T) {
	const block = ward.PrefixBlockTokens * bytesPerToken
	shared := strings.Repeat("s", 2*block)
	a := prefixes([]byte(shared + strings.Repeat("a", block)))
	b := prefixes([]byte(shared + strings.Repeat("b", block)))
	if len(a) != 3 || len(b) != 3 || a[0] != b[0] || a[1] != b[1] || a[2] == b[2] {
		t.Errorf("prefixes %v and %v", a, b)
	}
}

func FuzzModel(f *testing.F) {
	f.Add(chat, "guests", "3")
	f.Add(`{"model":"writer","prompt":["a"],"max_tokens":-1}`, "", "9")
	in := Intake{DefaultDeadline: time.Minute}
	f.Fuzz(func(t *testing.T, body, team, tier string) {
		r := request(http.MethodPost, "/v1/completions", []string{HeaderTeam, team, HeaderTier, tier})
		q, err := in.Model(r, []byte(body), config(), noon)
		if err != nil {
			if code.Of(err).Run != ward.NotRun {
				t.Errorf("error %v is not marked as not run", err)
			}
			return
		}
		if q.Tier < ward.TierTop || q.Tier > ward.TierBottom || q.PromptTokens < 1 || q.MaxOutput < 0 {
			t.Errorf("request %+v", q)
		}
	})
}

func request(method, target string, header []string) *http.Request {
	r := httptest.NewRequest(method, target, nil)
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	return r
}
