package digest

import (
	"slices"
	"testing"
)

// Guards against two different requests with one digest: the second would be refused for
// crashes under the first.
func TestSumsDiffer(t *testing.T) {
	base := Request{Method: "POST", Host: "h", Target: "/a/1", Team: "t", Body: []byte("body")}
	cases := []struct {
		name   string
		change func(r *Request)
	}{
		{"method", func(r *Request) { r.Method = "PUT" }},
		{"host", func(r *Request) { r.Host = "g" }},
		{"path", func(r *Request) { r.Target = "/a/2" }},
		{"query", func(r *Request) { r.Target = "/a/1?x=1" }},
		{"team", func(r *Request) { r.Team = "u" }},
		{"body", func(r *Request) { r.Body = []byte("other") }},
		{"no body", func(r *Request) { r.Body = nil }},
		{"team that runs into the body", func(r *Request) { r.Team, r.Body = "tb", []byte("ody") }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := base
			c.change(&r)
			if slices.Equal(r.Sums(), base.Sums()) {
				t.Errorf("digests %x of %+v and %+v are equal", r.Sums(), r, base)
			}
		})
	}
}

// Guards against a model request that is not recognised because one part of its prompt
// is new, and against one that is taken for another with the same path and no body.
func TestSumsOfPrompts(t *testing.T) {
	a := Request{Method: "POST", Target: "/a/", Team: "t", Prompt: "1:5,2:5"}
	b := a
	b.Prompt = "1:5,3:5"
	x, y := a.Sums(), b.Sums()
	if len(x) != 2 || len(y) != 2 || x[0] != y[0] || x[1] == y[1] {
		t.Errorf("digests %x and %x, want the first equal and the second not", x, y)
	}
}

func BenchmarkSums(b *testing.B) {
	for _, c := range []struct {
		name string
		body int
	}{{"40B", 40}, {"60KB", 60 << 10}} {
		b.Run(c.name, func(b *testing.B) {
			r := Request{Method: "POST", Host: "shop.example", Target: "/orders/17/items", Team: "team-1", Body: make([]byte, c.body)}
			b.ReportAllocs()
			for b.Loop() {
				r.Sums()
			}
		})
	}
}
