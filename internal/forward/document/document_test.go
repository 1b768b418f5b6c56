package document

import (
	"errors"
	"testing"
)

func TestOpen(t *testing.T) {
	list := []string{"a", "b"}
	p, err := Pack(list)
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name string
		p    Packed
		fail bool
	}{
		{"whole", p, false},
		{"cut short", p[:len(p)/2], true},
		{"empty", nil, true},
		{"not a document", Packed("plain text"), true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var got []string
			if err := c.p.Open(&got); (err != nil) != c.fail {
				t.Fatalf("error %v", err)
			}
			if !c.fail && (len(got) != 2 || got[1] != "b") {
				t.Errorf("got %v", got)
			}
		})
	}
}

// TestOpenBoundsTheSize opens a document that is small when packed and exceeds
// maxSize when opened.
func TestOpenBoundsTheSize(t *testing.T) {
	list := make([]string, 70)
	for i := range list {
		list[i] = string(make([]byte, 1<<20))
	}
	p, err := Pack(list)
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	if err := p.Open(&got); !errors.Is(err, errTooLarge) {
		t.Errorf("error %v of a document that is packed in %d bytes", err, len(p))
	}
}

func FuzzOpen(f *testing.F) {
	p, err := Pack([]string{"a"})
	if err != nil {
		f.Fatal(err)
	}
	f.Add([]byte(p))
	f.Fuzz(func(_ *testing.T, b []byte) {
		var got []string
		// Any bytes give a value or an error.
		_ = Packed(b).Open(&got)
	})
}
