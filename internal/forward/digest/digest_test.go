package digest

import "testing"

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
			if r.Sum() == base.Sum() {
				t.Errorf("one digest %x of %+v and %+v", r.Sum(), r, base)
			}
		})
	}
}

// Guards against a model request that is not recognised because one part of its prompt
// is new each time, and against one that is taken for another with the same path and no
// body.
func TestSumOfPrompts(t *testing.T) {
	a := Request{Method: "POST", Target: "/a/", Team: "t", Prompt: "1:5,2:5"}
	b := a
	b.Prompt = "1:5,3:5"
	if a.Sum() == b.Sum() {
		t.Errorf("one digest %x of two prompts without a body", a.Sum())
	}
	a.Body, b.Body = []byte("body"), []byte("body")
	if a.Sum() != b.Sum() {
		t.Errorf("digests %x and %x of one body", a.Sum(), b.Sum())
	}
}

func BenchmarkSum(b *testing.B) {
	for _, c := range []struct {
		name string
		body int
	}{{"40B", 40}, {"60KB", 60 << 10}} {
		b.Run(c.name, func(b *testing.B) {
			r := Request{Method: "POST", Host: "shop.example", Target: "/orders/17/items", Team: "team-1", Body: make([]byte, c.body)}
			b.ReportAllocs()
			for b.Loop() {
				r.Sum()
			}
		})
	}
}
