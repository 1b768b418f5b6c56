package code

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

func TestTableMatchesDocs(t *testing.T) {
	goldie.New(t, goldie.WithFixtureDir("../../../docs"), goldie.WithNameSuffix(".md")).
		Assert(t, "CODES", []byte(Markdown()))
}

func TestTableIsOrdered(t *testing.T) {
	names := map[string]bool{}
	last := 0
	for _, c := range Table() {
		if c.Number <= last {
			t.Errorf("%s: number does not follow %d", c, last)
		}
		if names[c.Name] {
			t.Errorf("%s: name is used twice", c)
		}
		last = c.Number
		names[c.Name] = true
	}
}

func TestOf(t *testing.T) {
	cases := []struct {
		name string
		err  error
		want Code
	}{
		{"own", Shed.New("floor %d", 2), Shed},
		{"wrapped by fmt", fmt.Errorf("submit: %w", Shed.New("x")), Shed},
		{"outermost goes first", RecordsDown.Wrap(Shed.New("x"), "y"), RecordsDown},
		{"none", errors.New("x"), Internal},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := Of(c.err); got.Number != c.want.Number {
				t.Errorf("Of() = %s, want %s", got, c.want)
			}
		})
	}
}

func TestText(t *testing.T) {
	err := RecordsDown.Wrap(errors.New("timeout"), "write intent of key %q", "k")
	if got, want := Text(err), `write intent of key "k": timeout`; got != want {
		t.Errorf("Text() = %q, want %q", got, want)
	}
	if strings.Contains(Text(Shed.New("x")), "agateward") {
		t.Error("Text() shows the error's type")
	}
}

func TestWrapKeepsCause(t *testing.T) {
	cause := errors.New("cause")
	err := fmt.Errorf("top: %w", RecordsDown.Wrap(fmt.Errorf("write: %w", cause), "key %q", "k"))
	if !errors.Is(err, cause) {
		t.Error("errors.Is does not find the cause")
	}
	if got := Of(err); got.Number != RecordsDown.Number {
		t.Errorf("Of() = %s, want %s", got, RecordsDown)
	}
}
