package peerstate

import (
	"math"
	"testing"

	"agateward/internal/forward/limit"
	"agateward/internal/forward/schedule"

	"github.com/vmihailenco/msgpack/v5"
)

// Guards against builds with and without the list of leaving upstreams that don't
// understand each other's messages.
func TestDeparturesBetweenBuilds(t *testing.T) {
	m := Message{Name: "entry-1", Listen: "10.0.0.1:7600", Sequence: 4}
	m.Requests.Load = map[string]int{"i-1": 2}
	m.Requests.Departures = []schedule.Identity{{ID: "i-2", Born: 7}, {ID: "i-3"}}
	b, err := m.Encode()
	if err != nil {
		t.Fatal(err)
	}
	var old struct {
		Name     string `msgpack:"n"`
		Sequence uint64 `msgpack:"s"`
		Requests struct {
			Load    map[string]int `msgpack:"u,omitempty"`
			Leaving bool           `msgpack:"x,omitempty"`
		} `msgpack:"q"`
	}
	if err := msgpack.Unmarshal(b, &old); err != nil || old.Sequence != 4 || old.Requests.Load["i-1"] != 2 || old.Requests.Leaving {
		t.Errorf("a build without the list reads %+v, %v", old, err)
	}
	got, err := Decode(b)
	if err != nil || len(got.Requests.Departures) != 2 || got.Requests.Departures[0] != m.Requests.Departures[0] || got.Requests.Departures[1] != m.Requests.Departures[1] {
		t.Errorf("read back %+v, %v", got.Requests, err)
	}
	b, err = msgpack.Marshal(map[string]any{"n": "entry-2", "l": "10.0.0.2:7600", "q": map[string]any{"u": map[string]int{"i-1": 1}}})
	if err != nil {
		t.Fatal(err)
	}
	if got, err = Decode(b); err != nil || len(got.Requests.Departures) != 0 || got.Requests.Load["i-1"] != 1 {
		t.Errorf("from a build without the list: %+v, %v", got.Requests, err)
	}
}

// Guards against limits that are lost between entries, that a build without them does not
// read past, and against rates that are no numbers.
func TestLimitsBetweenBuilds(t *testing.T) {
	m := Message{Name: "entry-1", Listen: "10.0.0.1:7600", Sequence: 4, News: true}
	m.Limits = []schedule.LimitReport{{Upstream: schedule.Identity{ID: "i-2", Born: 7}, State: limit.State{Version: 3, Limited: true, PerSecond: 1.7}}}
	b, err := m.Encode()
	if err != nil {
		t.Fatal(err)
	}
	var old struct {
		Name     string `msgpack:"n"`
		Sequence uint64 `msgpack:"s"`
	}
	if err := msgpack.Unmarshal(b, &old); err != nil || old.Sequence != 4 {
		t.Errorf("a build without limits reads %+v, %v", old, err)
	}
	if got, err := Decode(b); err != nil || len(got.Limits) != 1 || got.Limits[0] != m.Limits[0] || !got.News {
		t.Errorf("read back %+v, %v", got, err)
	}
	for _, rate := range []float64{-1, math.NaN(), math.Inf(1)} {
		m.Limits[0].State.PerSecond = rate
		if b, err = m.Encode(); err != nil {
			t.Fatal(err)
		}
		if _, err = Decode(b); err == nil {
			t.Errorf("a limit of %v is read", rate)
		}
	}
}
