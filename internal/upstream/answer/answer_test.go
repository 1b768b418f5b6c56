package answer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"agateward/internal/result/code"
	"agateward/internal/upstream/transport"
)

// raw returns a transport whose only server answers with the given bytes and
// closes the connection.
func raw(answer string) *transport.Transport {
	return &transport.Transport{Dial: func(context.Context, string, string) (net.Conn, error) {
		client, server := net.Pipe()
		go func() {
			defer server.Close()
			if _, err := http.ReadRequest(bufio.NewReader(server)); err == nil {
				_, _ = io.WriteString(server, answer)
			}
		}()
		return client, nil
	}}
}

const head = "HTTP/1.1 200 OK\r\nAgateward-Request: a\r\nContent-Type: "

func stream(extra, body string) string {
	return head + "text/event-stream\r\n" + extra + "Transfer-Encoding: chunked\r\n\r\n" + chunk(body) + "0\r\n\r\n"
}

func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

func token(id, text string) string {
	return `data: {"id":"` + id + `","choices":[{"delta":{"content":"` + text + `"}}]}` + "\n\n"
}

const done = "data: [DONE]\n\n"

// read returns the body and the tokens that a caller would get, and the error
// that ended the answer.
func read(a *Answer) (string, int, error) {
	defer func() { _ = a.Close() }()
	var b strings.Builder
	tokens := 0
	for {
		c, err := a.Next(context.Background())
		if err != nil {
			return b.String(), tokens, err
		}
		b.Write(c.Data)
		tokens += c.Tokens
		if c.Last {
			return b.String(), tokens, nil
		}
	}
}

func TestAnswers(t *testing.T) {
	long := strings.Repeat("x", 300)
	cases := []struct {
		name   string
		raw    string
		model  bool
		resume int
		want   string
		tokens int
		code   *code.Code
	}{
		{"whole stream", stream("", token("m", "hi")+token("m", "ho")+done), true, 0, token("m", "hi") + token("m", "ho") + done, 2, nil},
		{"stream without end mark", stream("", token("m", "hi")), true, 0, token("m", "hi"), 1, &code.AnswerCut},
		{"stream truncated within an event", stream("", token("m", "hi")+"data: {"), true, 0, token("m", "hi"), 1, &code.AnswerCut},
		{"connection lost within a chunk", head + "text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\nff\r\n" + token("m", "hi"), true, 0, token("m", "hi"), 1, &code.AnswerCut},
		{"event of another answer", stream("", token("m", "hi")+token("n", "ho")+done), true, 0, token("m", "hi"), 1, &code.AnswerMismatch},
		{"event too large", stream("", token("m", "hi")+token("m", long)), true, 0, token("m", "hi"), 1, &code.AnswerTooLarge},
		{"error event", stream("", token("m", "hi")+"data: {\"error\":{\"message\":\"x\"}}\n\n"), true, 0, token("m", "hi"), 1, &code.UpstreamFailed},
		{"resumed", stream("Agateward-Resume: 3\r\n", token("m", "hi")+done), true, 3, token("m", "hi") + done, 1, nil},
		{"not resumed", stream("", token("m", "hi")+done), true, 3, "", 0, &code.AnswerCut},
		{"resumed at another token", stream("Agateward-Resume: 2\r\n", token("m", "hi")+done), true, 3, "", 0, &code.AnswerCut},
		{"resumed with a repeated token", stream("Agateward-Resume: 3\r\n", "id: 3\n"+token("m", "c")+"id: 4\n"+token("m", "d")+done), true, 3, "id: 4\n" + token("m", "d") + done, 1, nil},
		{"whole body", head + "application/json\r\nContent-Length: 35\r\n\r\n" + `{"usage":{"completion_tokens": 17}}`, true, 0, `{"usage":{"completion_tokens": 17}}`, 17, nil},
		{"chunked body", head + "text/plain\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("ab") + chunk("c") + "0\r\n\r\n", false, 0, "abc", 0, nil},
		{"body shorter than its length", head + "text/plain\r\nContent-Length: 5\r\n\r\nabc", false, 0, "", 0, &code.AnswerCut},
		{"no last chunk", head + "text/plain\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("ab"), false, 0, "", 0, &code.AnswerCut},
		{"body without length", head + "text/plain\r\n\r\nabc", false, 0, "", 0, &code.AnswerCut},
		{"long body", head + "text/plain\r\nContent-Length: 300\r\n\r\n" + long, false, 0, long, 0, nil},
		{"long body truncated", head + "text/plain\r\nContent-Length: 301\r\n\r\n" + long, false, 0, long, 0, &code.AnswerCut},
		{"long body of a model", head + "application/json\r\nContent-Length: 300\r\n\r\n" + long, true, 0, "", 0, &code.AnswerTooLarge},
		{"body too large", head + "text/plain\r\nContent-Length: 900\r\n\r\n" + long + long + long, false, 0, "", 0, &code.AnswerTooLarge},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			reply, err := raw(c.raw).Send(context.Background(), transport.Call{Address: "1.2.3.4:5", ID: "a", Method: "GET", Path: "/", Resume: transport.NoResume})
			if err != nil {
				t.Fatal(err)
			}
			a := &Answer{Reply: reply, Limits: Limits{Event: 200, Buffer: 200, Body: 600}, Model: c.model, Resume: c.resume}
			got, tokens, err := read(a)
			if c.code == nil && err != nil || c.code != nil && !c.code.Is(err) {
				t.Fatalf("got error %v, want %v", err, c.code)
			}
			if !strings.HasPrefix(c.want, got) && got != "" || c.code == nil && got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
			if tokens != c.tokens {
				t.Errorf("%d tokens, want %d", tokens, c.tokens)
			}
		})
	}
}

// TestStatusOfUpstreamIsNoPromise guards against requests that an upstream ran and
// that are answered with a status that promises the opposite.
func TestStatusOfUpstreamIsNoPromise(t *testing.T) {
	for status := http.StatusOK; status < 600; status++ {
		for _, model := range []bool{false, true} {
			answer := fmt.Sprintf("HTTP/1.1 %d x\r\nAgateward-Request: a\r\nRetry-After: 1\r\nAgateward-Run: not-run\r\nContent-Length: 0\r\n\r\n", status)
			reply, err := raw(answer).Send(context.Background(), transport.Call{Address: "1.2.3.4:5", ID: "a", Method: "POST", Path: "/", Resume: transport.NoResume})
			if err != nil {
				t.Fatal(err)
			}
			a := &Answer{Reply: reply, Model: model}
			c, err := a.Next(context.Background())
			_ = a.Close()
			promise := code.PromisesNotRun(status)
			if promise != code.UnconfirmedRefusal.Is(err) || !promise && (err != nil || c.Status != status) {
				t.Errorf("upstream answered %d, model %v: got status %d, error %v", status, model, c.Status, err)
			}
		}
	}
}

// TestTruncatedAnswerFails truncates complete answers after each byte.
func TestTruncatedAnswerFails(t *testing.T) {
	answers := []string{
		stream("", token("m", "hi")+token("m", "ho")+done),
		head + "text/plain\r\nContent-Length: 300\r\n\r\n" + strings.Repeat("x", 300),
		head + "text/plain\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("ab") + chunk("c") + "0\r\n\r\n",
	}
	for i, full := range answers {
		end := strings.Index(full, "[DONE]\n\n") + len("[DONE]\n\n")
		if i > 0 {
			end = len(full)
		}
		for cut := 0; cut < end; cut++ {
			reply, err := raw(full[:cut]).Send(context.Background(), transport.Call{Address: "1.2.3.4:5", ID: "a", Method: "GET", Path: "/", Resume: transport.NoResume})
			if err != nil {
				continue
			}
			_, _, err = read(&Answer{Reply: reply, Limits: Limits{Buffer: 200}, Model: i == 0})
			if err == nil || errors.Is(err, io.EOF) {
				t.Fatalf("answer %d truncated after byte %d is taken as complete", i, cut)
			}
		}
	}
}

// TestBackpressure checks that no more than a few buffers are read from the
// upstream while the caller doesn't read.
func TestBackpressure(t *testing.T) {
	const buffers = 16 << 10
	synctest.Test(t, func(t *testing.T) {
		var sent atomic.Int64
		dial := func(context.Context, string, string) (net.Conn, error) {
			client, server := net.Pipe()
			go func() {
				defer server.Close()
				_, _ = http.ReadRequest(bufio.NewReader(server))
				_, _ = io.WriteString(server, head+"text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
				for {
					n, err := io.WriteString(server, chunk(token("m", "hi")))
					sent.Add(int64(n))
					if err != nil {
						return
					}
				}
			}()
			return client, nil
		}
		tr := &transport.Transport{Dial: dial}
		reply, err := tr.Send(t.Context(), transport.Call{Address: "1.2.3.4:5", ID: "a", Method: "GET", Path: "/", Resume: transport.NoResume})
		if err != nil {
			t.Fatal(err)
		}
		a := &Answer{Reply: reply, Model: true}
		for range 2 {
			if _, err := a.Next(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(time.Hour)
		if n := sent.Load(); n == 0 || n > buffers {
			t.Errorf("%d bytes were read ahead", n)
		}
		if _, err := a.Next(t.Context()); err != nil {
			t.Errorf("a slow caller lost its answer: %v", err)
		}
		_ = a.Close()
		tr.CloseIdle()
		synctest.Wait()
	})
}

// TestStalledAnswerEnds checks that an answer whose upstream stalls or whose
// caller disconnects ends with its code, and that the connection is closed.
func TestStalledAnswerEnds(t *testing.T) {
	cases := []struct {
		name       string
		disconnect time.Duration
		want       code.Code
		after      time.Duration
	}{
		{"upstream stalls", time.Hour, code.AnswerLate, transport.DefaultRead},
		{"caller disconnects", time.Second, code.CallerGone, time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				closed := make(chan struct{})
				tr := &transport.Transport{Dial: func(context.Context, string, string) (net.Conn, error) {
					client, server := net.Pipe()
					go func() {
						defer close(closed)
						r := bufio.NewReader(server)
						_, _ = http.ReadRequest(r)
						_, _ = io.WriteString(server, head+"text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"+chunk(token("m", "hi")))
						_, _ = r.ReadByte()
					}()
					return client, nil
				}}
				ctx, cancel := context.WithCancel(t.Context())
				time.AfterFunc(c.disconnect, cancel)
				start := time.Now()
				reply, err := tr.Send(ctx, transport.Call{Address: "1.2.3.4:5", ID: "a", Method: "GET", Path: "/", Resume: transport.NoResume})
				if err != nil {
					t.Fatal(err)
				}
				a := &Answer{Reply: reply, Model: true}
				for err == nil {
					_, err = a.Next(ctx)
				}
				if !c.want.Is(err) || time.Since(start) != c.after {
					t.Errorf("got %v after %v, want %s after %v", err, time.Since(start), c.want, c.after)
				}
				<-closed
				cancel()
				_ = a.Close()
			})
		})
	}
}
