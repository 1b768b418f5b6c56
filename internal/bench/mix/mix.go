// Package mix describes the traffic of callers: classes of requests with their
// team, tier, deadline and lengths, drawn from a seed.
//
// A mix is a file of JSON with comments, or the name of a built-in one: tafelberg
// or brassie. Lengths are drawn from a log-uniform distribution, so that short and
// hundredfold longer requests occur in one class.
//
// # Usage
//
//	m, err := mix.Named("tafelberg")
//	r := m.Draw(rand.New(rand.NewPCG(seed, 0)))
package mix

import (
	"embed"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"strings"

	"agateward/internal/config/strict"
	"agateward/internal/result/code"
	"agateward/internal/standin/text"
	"agateward/ward"
)

//go:embed mixes/*.jsonc
var files embed.FS

// Kind is the type of the requests of a class.
type Kind string

// Kinds of class.
const (
	// Chat and Completion are model requests.
	Chat       Kind = "chat"
	Completion Kind = "completion"
	// Lookup is an idempotent call of a service. Order is a call that must run at
	// most once and carries an idempotency key.
	Lookup Kind = "lookup"
	Order  Kind = "order"
)

// bytesPerToken is the length of the text of one token.
const bytesPerToken = 4

// Mix is a list of classes.
type Mix struct {
	Classes []Class `json:"classes"`
}

// Class is a class of requests and its share of the traffic.
type Class struct {
	Name string `json:"name"`
	// Weight is the relative share of the class in the traffic.
	Weight float64 `json:"weight"`
	Kind   Kind    `json:"kind"`
	// Model is used by chat and completion, Service and Path by lookup and order.
	Model   string `json:"model"`
	Service string `json:"service"`
	Path    string `json:"path"`
	Route   string `json:"route"`
	Team    string `json:"team"`
	// Tier 0 and Deadline 0 mean the default of the route.
	Tier     ward.Tier     `json:"tier"`
	Deadline ward.Duration `json:"deadline"`
	Stream   bool          `json:"stream"`
	// Prompt and Output are the minimum and maximum length in tokens. Shared is the
	// length in tokens of the common prefix of all prompts of the class.
	Prompt []int `json:"prompt"`
	Output []int `json:"output"`
	Shared int   `json:"shared"`
	// Repeat is the share of orders that are sent twice with the same key.
	Repeat float64 `json:"repeat"`
}

// Request is one drawn request.
type Request struct {
	Class Class
	// Reference is unique. It is part of the prompt or the body, and is the
	// idempotency key of an order.
	Reference string
	Prompt    string
	// Output is the exact length of the answer in tokens.
	Output int
	// Repeated is set when the request is to be sent twice.
	Repeated bool
}

// Named returns the built-in mix of that name, or reads the file of that name.
func Named(name string) (Mix, error) {
	b, err := files.ReadFile("mixes/" + name + ".jsonc")
	if err != nil {
		if b, err = os.ReadFile(name); err != nil {
			return Mix{}, code.BadCommand.Wrap(err, "read the mix: use tafelberg, brassie or a file")
		}
	}
	return Parse(name, b)
}

// Parse reads a mix and checks it.
func Parse(file string, b []byte) (Mix, error) {
	var m Mix
	doc, faults := strict.Decode(file, b, &m)
	if len(faults) == 0 {
		faults = m.check(doc)
	}
	if len(faults) == 0 {
		return m, nil
	}
	var lines []string
	for _, f := range faults {
		lines = append(lines, f.String())
	}
	return Mix{}, code.SettingsInvalid.New("%s", strings.Join(lines, "\n"))
}

func (m Mix) check(doc *strict.Document) []strict.Fault {
	var faults []strict.Fault
	add := func(key, format string, args ...any) { faults = append(faults, doc.Fault(key, format, args...)) }
	if len(m.Classes) == 0 {
		add("classes", "is empty")
	}
	for i, c := range m.Classes {
		key := fmt.Sprintf("classes[%d].", i)
		if c.Weight <= 0 {
			add(key+"weight", "%g: use a number above 0", c.Weight)
		}
		switch c.Kind {
		case Chat, Completion:
			if !isRange(c.Prompt) || !isRange(c.Output) {
				add(key+"prompt", "prompt and output must be two lengths each, such as [50, 600]")
			}
		case Lookup, Order:
			if !strings.HasPrefix(c.Path, "/") {
				add(key+"path", "%q: use a path that begins with /", c.Path)
			}
		default:
			add(key+"kind", "%q: use chat, completion, lookup or order", c.Kind)
		}
	}
	return faults
}

func isRange(v []int) bool { return len(v) == 2 && v[0] > 0 && v[0] <= v[1] }

// Draw returns the next request.
func (m Mix) Draw(r *rand.Rand) Request {
	c := m.class(r)
	q := Request{Class: c, Reference: fmt.Sprintf("%s-%016x", c.Name, r.Uint64()), Repeated: r.Float64() < c.Repeat}
	if c.Kind != Chat && c.Kind != Completion {
		return q
	}
	q.Output = drawLength(r, c.Output)
	q.Prompt = filler(c.Name, c.Shared) + q.Reference + filler(" note", drawLength(r, c.Prompt))
	return q
}

func (m Mix) class(r *rand.Rand) Class {
	sum := 0.0
	for _, c := range m.Classes {
		sum += c.Weight
	}
	at := r.Float64() * sum
	for _, c := range m.Classes {
		if at -= c.Weight; at < 0 {
			return c
		}
	}
	return m.Classes[len(m.Classes)-1]
}

// Answer returns the expected answer of the stand-in engine.
func (q Request) Answer() text.Answer {
	if q.Class.Kind == Chat {
		return text.Answer{Prompt: "user: " + q.Prompt + "\n"}
	}
	return text.Answer{Prompt: q.Prompt}
}

// drawLength draws a length from a log-uniform distribution over the bounds.
func drawLength(r *rand.Rand, bounds []int) int {
	low, high := math.Log(float64(bounds[0])), math.Log(float64(bounds[1]))
	return int(math.Round(math.Exp(low + r.Float64()*(high-low))))
}

// filler returns text of the given number of tokens.
func filler(word string, tokens int) string {
	n := tokens * bytesPerToken
	return strings.Repeat(word+" ", n/(len(word)+1)+1)[:n]
}
