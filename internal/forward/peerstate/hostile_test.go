package peerstate

import (
	"math"
	"runtime"
	"testing"
	"time"

	"agateward/ward"

	"github.com/vmihailenco/msgpack/v5"
)

// encode returns the bytes of a message in which the values of fields are replaced.
func encode(t *testing.T, fields map[string]any) []byte {
	t.Helper()
	b, err := msgpack.Marshal(fields)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// Guards against a datagram of some bytes that ends the process, by a list that states billions
// of elements or a nil in the place of a struct, and against one that lifts a quota.
func TestHostileMessages(t *testing.T) {
	list := func(head ...byte) msgpack.RawMessage { return msgpack.RawMessage(head) }
	many := list(0xdd, 0x00, 0xff, 0xff, 0xff)
	deep := make(msgpack.RawMessage, 50_000)
	for i := range deep {
		deep[i] = 0x91
	}
	cases := []struct {
		name   string
		fields map[string]any
	}{
		{"list of millions", map[string]any{"n": "e", "l": "l", "k": many}},
		{"list of millions in a struct", map[string]any{"n": "e", "l": "l", "m": map[string]any{"States": many}}},
		{"map of millions", map[string]any{"n": "e", "l": "l", "t": list(0xdf, 0x00, 0xff, 0xff, 0xff)}},
		{"text of gigabytes", map[string]any{"n": list(0xdb, 0x7f, 0xff, 0xff, 0xff), "l": "l"}},
		{"bytes of gigabytes in an unknown field", map[string]any{"?": list(0xc6, 0x7f, 0xff, 0xff, 0xff), "n": "e", "l": "l"}},
		{"nested deeply", map[string]any{"n": "e", "l": "l", "p": deep}},
		{"nil for a time", map[string]any{"n": "e", "l": "l", "m": map[string]any{"Quarantines": []any{}, "States": []any{map[string]any{"Given": nil}}}}},
		{"list for a time", map[string]any{"n": "e", "l": "l", "m": map[string]any{"States": []any{map[string]any{"Given": []any{1, 2}}}}}},
		{"text for a number", map[string]any{"n": "e", "l": "l", "b": "soon"}},
		{"number for a struct", map[string]any{"n": "e", "l": "l", "q": 7}},
		{"use of a quota that is no number", map[string]any{"n": "e", "l": "l", "t": map[string]any{"guests": math.NaN()}}},
		{"use of a quota without an end", map[string]any{"n": "e", "l": "l", "t": map[string]any{"guests": math.Inf(1)}}},
		{"level of a quota that is no number", map[string]any{"n": "e", "l": "l", "u": map[string]any{"guests": math.NaN()}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			begun := time.Now()
			b := encode(t, c.fields)
			m, err := Decode(b)
			runtime.ReadMemStats(&after)
			if sum := after.TotalAlloc - before.TotalAlloc; sum > 16<<20 {
				t.Errorf("%d bytes allocated for a message of %d", sum, len(b))
			}
			if d := time.Since(begun); d > time.Second {
				t.Errorf("%v for a message of %d bytes", d, len(b))
			}
			if err == nil && m.Moves == nil {
				t.Errorf("taken as %+v", m)
			}
		})
	}
}

// Guards against a bound that refuses a whole message.
func TestFullMessagePasses(t *testing.T) {
	m := Message{Name: "e", Listen: "l", Quota: map[string]float64{}, Moves: &Moves{States: make([]ward.MoveState, 20)}}
	for i := range 3000 {
		m.Quota[string(rune('a'+i%26))+time.Duration(i).String()] = float64(i)
	}
	b, err := m.Encode()
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(b)
	if err != nil || len(got.Quota) != 3000 || len(got.Moves.States) != 20 {
		t.Errorf("%d quotas, %v", len(got.Quota), err)
	}
}
