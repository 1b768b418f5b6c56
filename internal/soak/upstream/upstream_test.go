package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"agateward/ward"
)

// headers is a dialect of three fields.
type headers struct{}

func (headers) Caller(ward.ForwardHead) http.Header { return nil }

func (headers) Hop(h http.Header) (string, ward.ForwardHop) {
	hop := ward.ForwardHop{Replica: h.Get("Replica"), LastEvent: -1}
	for _, v := range h.Values("Part") {
		id, _ := strconv.ParseUint(v, 16, 64) // an invalid one is 0, which is no part
		hop.Parts = append(hop.Parts, ward.PromptPart{ID: id})
	}
	return h.Get("Id"), hop
}

func (headers) Answer(r ward.ForwardReply) http.Header {
	h := http.Header{"Id": {r.ID}, "Not-Run": {fmt.Sprint(r.NotRun)}}
	if r.Limit.Limited {
		h.Set("Limit", fmt.Sprint(r.Limit.PerSecond))
	}
	return h
}

// Guards against limits that are not stated, or not reported, so that the soak finds
// nothing.
func TestLimit(t *testing.T) {
	var reported []float64
	arrived := 0
	u := &Upstream{ID: "i-1", Slots: 1, Dialect: headers{}, Answers: &Answers{}, OnRun: func(_, _, _ string) {}}
	if err := u.Listen(); err != nil {
		t.Fatal(err)
	}
	defer u.Crash()
	u.OnArrive = func(_, _ string) { arrived++ }
	u.OnLimit = func(_, _ string, perSecond float64) { reported = append(reported, perSecond) }
	get := func() string {
		w, r := httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil)
		r.Header = http.Header{"Id": {"r"}, "Replica": {"i-1"}}
		u.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), connectionKey{}, &connection{})))
		return w.Header().Get("Limit")
	}
	none := get()
	if !u.Answers.SetLimit(1.7) || u.Answers.SetLimit(2) {
		t.Error("the first limit is to be set, and the second is not")
	}
	named := get()
	u.Answers.Limit.Store(0)
	ended := get()
	if none != "" || named != "1.7" || ended != "" || arrived != 3 || !slices.Equal(reported, []float64{0, 1.7, 0}) {
		t.Errorf("stated %q, %q, %q, reported %v, %d arrivals", none, named, ended, reported, arrived)
	}
}

// Guards against faults of answers that stop to happen, so that the soak finds nothing:
// each answer on one connection is checked, with what ran.
func TestAnswers(t *testing.T) {
	cases := []struct {
		name               string
		ranRefused, repeat int64
		pause              int64
		engine             bool
		want               []string
		ran                []string
	}{
		{"right", 0, 0, 0, false, []string{"200 a false", "200 b false", "200 c false", "200 d false"}, []string{"a", "b", "c", "d"}},
		{"ran and refused", 429, 0, 0, false, []string{"200 a false", "429 b false", "200 c false", "429 d false"}, []string{"a", "b", "c", "d"}},
		{"stream ran and refused", 503, 0, 0, true, []string{"200 a false", "503 b false", "200 c false", "503 d false"}, []string{"a", "b", "c", "d"}},
		{"not run twice", 0, 503, 0, false, []string{"200 a false", "200 b false", "503 c true", "503 c true", "200 d false"}, []string{"a", "b", "d"}},
		{"pause", 0, 0, 1, false, []string{"200 a false", "200 b false", "503 c true", "200 d false"}, []string{"a", "b", "d"}},
		{"moved twice", 0, 421, 0, true, []string{"200 a false", "200 b false", "421 c true", "421 c true", "200 d false"}, []string{"a", "b", "d"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var ran []string
			u := &Upstream{ID: "i-1", Engine: c.engine, Slots: 1, Dialect: headers{}, Answers: &Answers{}}
			u.OnRun = func(id, _, _ string) { ran = append(ran, id) }
			u.Answers.RanRefused.Store(c.ranRefused)
			u.Answers.Repeat.Store(c.repeat)
			u.Answers.Pause.Store(c.pause)
			if err := u.Listen(); err != nil {
				t.Fatal(err)
			}
			defer u.Crash()
			conn, err := net.Dial("tcp", u.Address())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			conn.SetDeadline(time.Now().Add(10 * time.Second))
			r := bufio.NewReader(conn)
			var got []string
			for _, id := range []string{"a", "b", "c", "d"} {
				fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: x\r\nId: %s\r\nReplica: i-1\r\nContent-Length: 0\r\n\r\n", id)
				for answered := false; !answered; {
					res, err := http.ReadResponse(r, nil)
					if err != nil {
						t.Fatal(err)
					}
					if _, err := io.Copy(io.Discard, res.Body); err != nil {
						t.Fatal(err)
					}
					answered = res.Header.Get("Id") == id
					got = append(got, fmt.Sprint(res.StatusCode, " ", res.Header.Get("Id"), " ", res.Header.Get("Not-Run")))
				}
			}
			if !reflect.DeepEqual(got, c.want) || !reflect.DeepEqual(ran, c.ran) {
				t.Errorf("answers %q, want %q; ran %q, want %q", got, c.want, ran, c.ran)
			}
		})
	}
}

// Guards against a silence that ends an answer, or that the ledger is not told of.
func TestSilenceGoesOn(t *testing.T) {
	for _, engine := range []bool{false, true} {
		for _, id := range []string{"a", "b"} { // silent within and before a plain answer
			var silent []string
			u := &Upstream{ID: "i-1", Engine: engine, Slots: 1, Dialect: headers{}, Answers: &Answers{}, OnRun: func(_, _, _ string) {}}
			u.OnSilence = func(id, upstream string) { silent = append(silent, id+" "+upstream) }
			if err := u.Listen(); err != nil {
				t.Fatal(err)
			}
			defer u.Crash()
			if id == "b" {
				u.runs.Add(1)
			}
			end := time.Now().Add(100 * time.Millisecond)
			u.Answers.SilentUntil.Store(end.UnixNano())
			req, _ := http.NewRequest(http.MethodPost, "http://"+u.Address(), nil)
			req.Header = http.Header{"Id": {id}, "Replica": {"i-1"}}
			res, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			b, err := io.ReadAll(res.Body)
			if whole := string(b) == Body(id) || engine && strings.Count(string(b), "data: ") == int(Events(id)); !whole || err != nil || time.Now().Before(end) {
				t.Errorf("engine %v: %q, %v; want the whole answer after the silence", engine, b, err)
			}
			if want := []string{id + " i-1"}; !reflect.DeepEqual(silent, want) {
				t.Errorf("engine %v: silences %q, want %q", engine, silent, want)
			}
		}
	}
}

// Guards against a silent upstream that still refuses requests: an entry then takes the
// answers that are due for lost.
func TestSilenceHoldsRefusals(t *testing.T) {
	u := &Upstream{ID: "i-1", Slots: 1, Dialect: headers{}, Answers: &Answers{}}
	u.OnSilence = func(id, _ string) { t.Errorf("silence in the answer to %s, which is refused", id) }
	if err := u.Listen(); err != nil {
		t.Fatal(err)
	}
	defer u.Crash()
	end := time.Now().Add(100 * time.Millisecond)
	u.Answers.SilentUntil.Store(end.UnixNano())
	req, _ := http.NewRequest(http.MethodPost, "http://"+u.Address(), nil)
	req.Header = http.Header{"Id": {"a"}, "Replica": {"another"}}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusMisdirectedRequest || time.Now().Before(end) {
		t.Errorf("status %d, %s before the end of the silence", res.StatusCode, time.Until(end))
	}
}

// Guards against an engine that does not crash under the part, crashes under others, before
// it begins to answer, or without a trace in the ledger.
func TestCrashPart(t *testing.T) {
	cases := []struct {
		name           string
		parts          []string
		replica        string
		silence        time.Duration
		status         int
		crash, arrives bool
	}{
		{"the part", []string{"a", "bad"}, "i-1", 0, 200, true, true},
		{"the part first", []string{"bad", "a"}, "i-1", 0, 200, true, true},
		{"the part in a silence", []string{"a", "bad"}, "i-1", 100 * time.Millisecond, 200, true, true},
		{"the part at another upstream", []string{"a", "bad"}, "i-2", 0, 421, false, true},
		{"other parts", []string{"a", "b"}, "i-1", 0, 200, false, false},
		{"no part", nil, "i-1", 0, 200, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var mu sync.Mutex // orders the callbacks before the checks
			var reached, crashed []string
			u := &Upstream{ID: "i-1", Engine: true, Slots: 1, CrashPart: 0xbad, Dialect: headers{}, Answers: &Answers{}, OnRun: func(_, _, _ string) {}}
			u.OnReach = func(id, upstream string) {
				mu.Lock()
				defer mu.Unlock()
				reached = append(reached, id+" "+upstream)
			}
			u.OnCrash = func(id, upstream string) {
				mu.Lock()
				crashed = append(crashed, id+" "+upstream)
				mu.Unlock()
				u.Crash()
			}
			if err := u.Listen(); err != nil {
				t.Fatal(err)
			}
			defer u.Crash()
			begin := time.Now()
			u.Answers.SilentUntil.Store(begin.Add(c.silence).UnixNano())
			req, _ := http.NewRequest(http.MethodPost, "http://"+u.Address(), nil)
			req.Header = http.Header{"Id": {"x"}, "Replica": {c.replica}, "Part": c.parts}
			res, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			if res.StatusCode != c.status || time.Since(begin) < c.silence {
				t.Errorf("status %d after %s, want %d", res.StatusCode, time.Since(begin), c.status)
			}
			if b, err := io.ReadAll(res.Body); (err != nil) != c.crash || c.crash && len(b) > 0 {
				t.Errorf("%q, %v; crash %v", b, err, c.crash)
			}
			_, err = net.Dial("tcp", u.Address())
			mu.Lock()
			defer mu.Unlock()
			if (err != nil) != c.crash || (len(crashed) == 1) != c.crash || (len(reached) == 1) != c.arrives {
				t.Errorf("reached by %q, crashed by %q, then %v", reached, crashed, err)
			}
		})
	}
}
