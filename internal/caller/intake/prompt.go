package intake

import (
	"encoding/json"
	"strings"

	"agateward/internal/result/code"
	"agateward/ward"

	"github.com/cespare/xxhash/v2"
)

const (
	// bytesPerToken is a rough estimate for prompt lengths; the scheduler corrects
	// for the error by the rates that it observes.
	bytesPerToken = 4
	// defaultOutput is the expected output length, in tokens, unless caller or
	// route set a lower maximum.
	defaultOutput = 256
	// maxPrefixBlocks is the maximum number of block hashes of one prompt.
	maxPrefixBlocks = 64
)

// prompt holds the fields of a model request's body that an entry reads.
type prompt struct {
	Model     string          `json:"model"`
	Stream    bool            `json:"stream"`
	MaxTokens int             `json:"max_tokens"`
	MaxOutput int             `json:"max_completion_tokens"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`
	N         int             `json:"n"`
}

func parsePrompt(body []byte) (*prompt, error) {
	var p prompt
	if err := json.Unmarshal(body, &p); err != nil {
		return nil, code.BadBody.Wrap(err, "the body is not the JSON of a model request")
	}
	if p.Model == "" {
		return nil, code.BadBody.New("the body names no model")
	}
	if len(p.Prompt) == 0 && len(p.Messages) == 0 {
		return nil, code.BadBody.New("the body has neither messages nor a prompt")
	}
	if p.MaxTokens < 0 || p.MaxOutput < 0 {
		return nil, code.BadBody.New("max_tokens is negative")
	}
	return &p, nil
}

// fill sets the lengths and prefix hashes of a model request.
func (p *prompt) fill(q *ward.Request, route *ward.Route) {
	text := p.Messages
	if len(text) == 0 {
		text = p.Prompt
	}
	q.Stream = p.Stream
	q.PromptTokens = max(len(text)/bytesPerToken, 1)
	q.MaxOutput = max(p.MaxTokens, p.MaxOutput)
	if q.MaxOutput == 0 || (route.MaxOutput > 0 && q.MaxOutput > route.MaxOutput) {
		q.MaxOutput = route.MaxOutput
	}
	q.ExpectOutput = q.MaxOutput
	if q.ExpectOutput == 0 || q.ExpectOutput > defaultOutput {
		q.ExpectOutput = defaultOutput
	}
	q.Prefix = prefixes(text)
}

// prefixes returns, for each whole block of the prompt, the hash of the prompt
// up to the end of that block.
func prefixes(text []byte) []uint64 {
	const block = ward.PrefixBlockTokens * bytesPerToken
	n := min(len(text)/block, maxPrefixBlocks)
	if n == 0 {
		return nil
	}
	d := xxhash.New()
	hashes := make([]uint64, n)
	for i := range hashes {
		_, _ = d.Write(text[i*block : (i+1)*block])
		hashes[i] = d.Sum64()
	}
	return hashes
}

// modelRoute finds the route of a model request; name may be empty.
func modelRoute(cfg *ward.Config, model, name string) (*ward.Route, error) {
	var found *ward.Route
	known := false
	for i := range cfg.Routes {
		route := &cfg.Routes[i]
		if route.Kind != ward.KindEngine || route.Serves != model {
			continue
		}
		known = true
		if name != "" && route.Name != name {
			continue
		}
		if route.Name == model {
			return route, nil
		}
		if found == nil || route.Tier > found.Tier {
			found = route
		}
	}
	if !known {
		return nil, code.UnknownModel.New("model %q is not configured", clip(model))
	}
	if found == nil {
		return nil, code.UnknownRoute.New("model %q has no route %q", clip(model), clip(name))
	}
	return found, nil
}

// serviceRoute finds the route with the longest path prefix that covers a call.
func serviceRoute(cfg *ward.Config, service, method, path string) (*ward.Route, error) {
	var found *ward.Route
	for i := range cfg.Routes {
		route := &cfg.Routes[i]
		if route.Kind != ward.KindService || route.Serves != service || !covers(route, method, path) {
			continue
		}
		if found == nil || len(route.PathPrefix) > len(found.PathPrefix) {
			found = route
		}
	}
	if found == nil {
		return nil, code.UnknownRoute.New("no route of service %q covers %s %s", clip(service), method, clip(path))
	}
	return found, nil
}

// covers reports whether a route's methods and path prefix cover a call. The
// prefix matches whole path segments only.
func covers(route *ward.Route, method, path string) bool {
	prefix := strings.TrimSuffix(route.PathPrefix, "/")
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	if rest := path[len(prefix):]; rest != "" && rest[0] != '/' {
		return false
	}
	if len(route.Methods) == 0 {
		return true
	}
	for _, m := range route.Methods {
		if m == method {
			return true
		}
	}
	return false
}
