package record

import (
	"errors"
	"reflect"
	"testing"
	"time"

	"agateward/internal/result/code"
)

var now = time.Unix(1_800_000_000, 0)

func claim(attempt string, hash uint64) Claim {
	return Claim{Key: KeyOf("club", "k"), BodyHash: hash, Attempt: attempt, Until: now.Add(time.Minute)}
}

func TestSecondClaim(t *testing.T) {
	answer := Outcome{Claim: claim("a", 1), State: Finished, Status: 201, Kept: true, Body: []byte("seat 7")}
	large := Outcome{Claim: claim("a", 1), State: Finished, Status: 201}
	refusal := Outcome{Claim: claim("a", 1), State: Finished, Status: 503, Kept: true}
	largeRefusal := Outcome{Claim: claim("a", 1), State: Finished, Status: 429}
	foreign := Outcome{Claim: claim("x", 1), State: NotRun}
	cases := []struct {
		name    string
		outcome *Outcome
		after   time.Duration
		claim   Claim
		kind    Kind
		code    code.Code
	}{
		{"in progress", nil, time.Second, claim("b", 1), Refuse, code.KeyInProgress},
		{"unsettled", nil, 2 * time.Minute, claim("b", 1), Refuse, code.OutcomeUnknown},
		{"own attempt after a lost answer", nil, time.Second, claim("a", 1), Run, code.Code{}},
		{"another body", nil, time.Second, claim("b", 2), Refuse, code.KeyReused},
		{"finished", &answer, time.Hour, claim("b", 1), Replay, code.Code{}},
		{"finished with another body", &answer, time.Hour, claim("b", 2), Refuse, code.KeyReused},
		{"answer not kept", &large, time.Hour, claim("b", 1), Refuse, code.AnswerNotKept},
		// A recorded status must not promise that a request that may have run did not.
		{"finished with a status that promises not run", &refusal, time.Hour, claim("b", 1), Refuse, code.OutcomeUnknown},
		{"the same without its body", &largeRefusal, time.Hour, claim("b", 1), Refuse, code.OutcomeUnknown},
		{"answer lost", &Outcome{Claim: claim("a", 1), State: Unknown}, 0, claim("b", 1), Refuse, code.OutcomeUnknown},
		{"not run", &Outcome{Claim: claim("a", 1), State: NotRun}, 0, claim("b", 1), Run, code.Code{}},
		{"settled by another attempt", &foreign, 0, claim("b", 1), Refuse, code.KeyInProgress},
		{"no longer kept", &answer, 25 * time.Hour, claim("b", 2), Run, code.Code{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := &Document{Keep: 24 * time.Hour}
			if v := b.Begin(now, claim("a", 1)); v.Kind != Run || !v.New {
				t.Fatalf("first claim: %+v", v)
			}
			if c.outcome != nil {
				b.Settle(now, *c.outcome)
			}
			b = roundTrip(t, b)
			v := b.Begin(now.Add(c.after), c.claim)
			if v.Kind != c.kind || v.Code.Number != c.code.Number {
				t.Errorf("got kind %d code %s, want %d %s", v.Kind, v.Code, c.kind, c.code)
			}
			if v.Kind == Replay && (string(v.Record.Body) != "seat 7" || v.Record.Status != 201) {
				t.Errorf("recorded answer %+v", v.Record)
			}
		})
	}
}

// roundTrip encodes and decodes a document.
func roundTrip(t *testing.T, b *Document) *Document {
	t.Helper()
	value, err := b.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if len(value) > b.Size() {
		t.Errorf("stored size %d is above its bound %d", len(value), b.Size())
	}
	out, err := Decode(value)
	if err != nil {
		t.Fatal(err)
	}
	out.Keep = b.Keep
	if len(b.records) > 0 && !reflect.DeepEqual(out.records, b.records) {
		t.Errorf("read %+v, wrote %+v", out.records, b.records)
	}
	return out
}

func TestCompactKeepsKeys(t *testing.T) {
	b := &Document{Keep: time.Hour}
	for i := range 50 {
		at := now.Add(time.Duration(i) * time.Second)
		c := Claim{Key: KeyOf("club", string(rune('a'+i))), BodyHash: 1, Attempt: "a", Until: at}
		b.Begin(at, c)
		b.Settle(at, Outcome{Claim: c, State: Finished, Kept: true, Body: make([]byte, 200)})
	}
	size := b.Size()
	if !b.Compact(size/2) || b.Size() > size/2 || b.Len() != 50 {
		t.Errorf("size %d of %d, %d records", b.Size(), size, b.Len())
	}
	if b.Compact(100) {
		t.Error("50 records fit into 100 bytes")
	}
	if b.Expire(now.Add(time.Hour + 30*time.Second)); b.Len() != 20 {
		t.Errorf("%d records are left, want the 20 that are kept", b.Len())
	}
}

func FuzzDecode(f *testing.F) {
	b := &Document{}
	b.Begin(now, claim("a", 1))
	value, _ := b.Encode()
	f.Add(value)
	f.Fuzz(func(t *testing.T, value []byte) {
		b, err := Decode(value)
		if err != nil && !errors.Is(err, ErrFormat) {
			t.Fatalf("error %v", err)
		}
		if err == nil {
			if _, err := b.Encode(); err != nil {
				t.Fatal(err)
			}
		}
	})
}
