package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"agateward/internal/bench/mix"
	"agateward/internal/bench/tally"
)

// Request and response headers.
const (
	headerTeam     = "Agateward-Team"
	headerTier     = "Agateward-Tier"
	headerDeadline = "Agateward-Deadline"
	headerRoute    = "Agateward-Route"
	headerKey      = "Idempotency-Key"
	headerCode     = "Agateward-Code"
)

const (
	// maxAnswerBytes bounds the body of an answer that is not a stream.
	maxAnswerBytes = 16 << 20
	// lineBufferBytes is the size of the read buffer for the events of a stream.
	lineBufferBytes = 8 << 10
	// extraWait is how long a caller waits beyond its deadline, or in all without a
	// deadline.
	extraWait = 30 * time.Second
)

// body is the JSON body of a model request.
type body struct {
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt,omitempty"`
	Messages  []message `json:"messages,omitempty"`
	MaxTokens int       `json:"max_tokens"`
	IgnoreEOS bool      `json:"ignore_eos"`
	Stream    bool      `json:"stream,omitempty"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// sendOne sends one request and classifies its answer.
func (g *Generator) sendOne(ctx context.Context, q mix.Request, target string) tally.Outcome {
	o := tally.Outcome{Tier: q.Class.Tier, Order: q.Class.Kind == mix.Order}
	switch {
	case o.Order:
		o.Run = q.Reference
	case isModel(q):
		o.Run = q.Answer().Hash()
	}
	ctx, cancel := context.WithTimeout(ctx, q.Class.Deadline.Std()+extraWait)
	defer cancel()
	r, err := newRequest(ctx, q, target)
	if err != nil {
		o.Result = tally.Failed
		o.Detail = err.Error()
		return o
	}
	// The client retries a request with an idempotency key when its connection
	// breaks, so the last error alone does not show that no connection was made.
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	r = r.WithContext(httptrace.WithClientTrace(ctx, trace))
	sent := g.Clock.Now()
	resp, err := g.Client.Do(r)
	if err != nil {
		o.Result = tally.Broken
		o.NotSent = !connected.Load()
		o.Detail = err.Error()
		return o
	}
	defer resp.Body.Close()
	g.read(resp, q, sent, &o)
	o.Total = g.Clock.Now().Sub(sent)
	if d := q.Class.Deadline.Std(); o.Result == tally.Good && d > 0 && o.Total > d {
		o.Result = tally.Late
	}
	return o
}

func isModel(q mix.Request) bool { return q.Class.Kind == mix.Chat || q.Class.Kind == mix.Completion }

// newRequest builds the HTTP request.
func newRequest(ctx context.Context, q mix.Request, target string) (*http.Request, error) {
	method, path := http.MethodPost, ""
	var payload any
	switch q.Class.Kind {
	case mix.Chat:
		path = "/v1/chat/completions"
		payload = body{Model: q.Class.Model, Messages: []message{{"user", q.Prompt}}, MaxTokens: q.Output, IgnoreEOS: true, Stream: q.Class.Stream}
	case mix.Completion:
		path = "/v1/completions"
		payload = body{Model: q.Class.Model, Prompt: q.Prompt, MaxTokens: q.Output, IgnoreEOS: true, Stream: q.Class.Stream}
	case mix.Lookup:
		method = http.MethodGet
		path = "/services/" + q.Class.Service + q.Class.Path + "?reference=" + url.QueryEscape(q.Reference)
	case mix.Order:
		path = "/services/" + q.Class.Service + q.Class.Path
		payload = struct {
			Reference string `json:"reference"`
		}{q.Reference}
	}
	var content io.Reader
	if payload != nil {
		text, err := json.Marshal(payload)
		if err != nil {
			return nil, err
		}
		content = bytes.NewReader(text)
	}
	r, err := http.NewRequestWithContext(ctx, method, target+path, content)
	if err != nil {
		return nil, err
	}
	setHeaders(r.Header, q)
	return r, nil
}

func setHeaders(h http.Header, q mix.Request) {
	h.Set("Content-Type", "application/json")
	set := func(name, value string) {
		if value != "" {
			h.Set(name, value)
		}
	}
	set(headerTeam, q.Class.Team)
	set(headerRoute, q.Class.Route)
	if q.Class.Tier > 0 {
		set(headerTier, strconv.Itoa(int(q.Class.Tier)))
	}
	if q.Class.Deadline > 0 {
		set(headerDeadline, q.Class.Deadline.String())
	}
	if q.Class.Kind == mix.Order {
		set(headerKey, q.Reference)
	}
}

// read reads and classifies the answer.
func (g *Generator) read(resp *http.Response, q mix.Request, sent time.Time, o *tally.Outcome) {
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswerBytes))
		o.Result = tally.Failed
		o.Status = resp.StatusCode
		o.Detail = resp.Status
		if o.Code = codeOf(resp.Header.Get(headerCode)); o.Code != 0 {
			o.Result = tally.Refused
		}
		return
	}
	if q.Class.Stream {
		g.readStream(resp.Body, q, sent, o)
		return
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		o.Result = tally.Cut
		o.Detail = err.Error()
		return
	}
	if isModel(q) {
		checkModelAnswer(b, q, o)
		return
	}
	checkServiceAnswer(b, q, o)
}

// codeOf returns the number in a text such as "AW-2002 shed", or 0.
func codeOf(s string) int {
	s = strings.TrimPrefix(s, "AW-")
	if i := strings.IndexFunc(s, func(r rune) bool { return r < '0' || r > '9' }); i >= 0 {
		s = s[:i]
	}
	n, _ := strconv.Atoi(s)
	return n
}

// answer holds the checked fields of an answer or of an event.
type answer struct {
	Choices []struct {
		Text    string  `json:"text"`
		Message message `json:"message"`
		Delta   message `json:"delta"`
	} `json:"choices"`
	Error *struct {
		Code json.RawMessage `json:"code"`
	} `json:"error"`
}

func (a answer) text() string {
	if len(a.Choices) == 0 {
		return ""
	}
	c := a.Choices[0]
	return c.Text + c.Message.Content + c.Delta.Content
}

func checkModelAnswer(b []byte, q mix.Request, o *tally.Outcome) {
	var a answer
	if err := json.Unmarshal(b, &a); err != nil {
		o.Result = tally.Cut
		o.Detail = err.Error()
		return
	}
	checkText(a.text(), q, o)
}

func checkText(got string, q mix.Request, o *tally.Outcome) {
	o.Result = tally.Good
	o.Tokens = q.Output
	if err := q.Answer().Check(got, q.Output); err != nil {
		o.Result = tally.Wrong
		o.Detail = fmt.Sprintf("%s: %v", q.Reference, err)
	}
}

func checkServiceAnswer(b []byte, q mix.Request, o *tally.Outcome) {
	var a struct {
		Reference string `json:"reference"`
	}
	err := json.Unmarshal(b, &a)
	switch {
	case err != nil:
		o.Result = tally.Cut
		o.Detail = err.Error()
	case a.Reference != q.Reference:
		o.Result = tally.Wrong
		o.Detail = fmt.Sprintf("%s: the answer belongs to %q", q.Reference, a.Reference)
	default:
		o.Result = tally.Good
	}
}

// readStream reads server-sent events up to "[DONE]".
func (g *Generator) readStream(r io.Reader, q mix.Request, sent time.Time, o *tally.Outcome) {
	var got strings.Builder
	last := sent
	lines := bufio.NewReaderSize(r, lineBufferBytes)
	for {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			o.Result = tally.Cut
			o.Detail = err.Error()
			return
		}
		data, ok := bytes.CutPrefix(bytes.TrimSpace(line), []byte("data:"))
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if string(data) == "[DONE]" {
			checkText(got.String(), q, o)
			return
		}
		var a answer
		if err := json.Unmarshal(data, &a); err != nil || a.Error != nil {
			o.Result = tally.Cut
			if a.Error != nil {
				o.Code = codeOf(strings.Trim(string(a.Error.Code), `"`))
			}
			return
		}
		if t := a.text(); t != "" {
			got.WriteString(t)
			last = g.recordToken(last, sent, o)
		}
	}
}

// recordToken records the time of a token and returns the current time.
func (g *Generator) recordToken(last, sent time.Time, o *tally.Outcome) time.Time {
	now := g.Clock.Now()
	if last.Equal(sent) {
		o.FirstToken = now.Sub(sent)
		return now
	}
	o.Between = append(o.Between, now.Sub(last))
	return now
}
