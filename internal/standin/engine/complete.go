package engine

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"agateward/internal/standin/batch"
	"agateward/internal/standin/text"
	"agateward/internal/upstream/header"
	"agateward/ward"

	"github.com/cespare/xxhash/v2"
	"github.com/julienschmidt/httprouter"
)

// errBadBody is the error of a body that is answered with 400.
var errBadBody = errors.New("bad body")

// call is a parsed request body.
type call struct {
	Model               string          `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            []message       `json:"messages"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	IgnoreEOS           bool            `json:"ignore_eos"`
	Stream              bool            `json:"stream"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// parse decodes the body of a call and returns it with its prompt.
func parse(body []byte, a api) (call, string, error) {
	var c call
	if err := json.Unmarshal(body, &c); err != nil {
		return c, "", fmt.Errorf("%w: %w", errBadBody, err)
	}
	if c.MaxTokens < 0 || c.MaxCompletionTokens < 0 {
		return c, "", fmt.Errorf("%w: max_tokens is negative", errBadBody)
	}
	if !a.chat {
		prompt, err := parseText(c.Prompt)
		return c, prompt, err
	}
	if len(c.Messages) == 0 {
		return c, "", fmt.Errorf("%w: messages is empty", errBadBody)
	}
	var b strings.Builder
	for _, m := range c.Messages {
		content, err := parseText(m.Content)
		if err != nil {
			return c, "", err
		}
		b.WriteString(m.Role + ": " + content + "\n")
	}
	return c, b.String(), nil
}

// parseText decodes a string, a list of strings or a list of parts with text.
func parseText(raw json.RawMessage) (string, error) {
	var s string
	if json.Unmarshal(raw, &s) == nil {
		return s, nil
	}
	var list []string
	if json.Unmarshal(raw, &list) == nil {
		return strings.Join(list, "\n"), nil
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if err := json.Unmarshal(raw, &parts); err != nil {
		return "", fmt.Errorf("%w: prompt or content is not text", errBadBody)
	}
	var b strings.Builder
	for _, p := range parts {
		b.WriteString(p.Text)
	}
	return b.String(), nil
}

// output returns the length of the answer in tokens and its finish reason.
func (c call) output(a text.Answer) (int, string) {
	bound := max(c.MaxTokens, c.MaxCompletionTokens)
	n := a.DefaultLength()
	if bound > 0 && (c.IgnoreEOS || bound < n) {
		return bound, "length"
	}
	return n, "stop"
}

// complete returns the handler of one API.
func (s *Server) complete(a api) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
		if err != nil {
			writeError(w, http.StatusRequestEntityTooLarge, err.Error())
			return
		}
		c, prompt, err := parse(body, a)
		if err != nil {
			writeError(w, http.StatusBadRequest, err.Error())
			return
		}
		resume := 0
		if v := r.Header.Get(HeaderResume); v != "" {
			if resume, err = strconv.Atoi(v); err != nil || resume < 0 {
				writeError(w, http.StatusBadRequest, HeaderResume+" is not a number")
				return
			}
		}
		version, ok := s.version(r.Header.Get(HeaderVersion))
		if !ok {
			writeError(w, http.StatusNotFound, "version "+r.Header.Get(HeaderVersion)+" is not loaded")
			return
		}
		s.run(w, r, &reply{api: a, call: c, answer: text.Answer{Prompt: prompt}, resume: resume, version: version, model: c.Model})
	}
}

// run admits the call to the engine and writes the answer.
func (s *Server) run(w http.ResponseWriter, r *http.Request, p *reply) {
	p.output, p.reason = p.call.output(p.answer)
	if p.resume >= p.output {
		p.resume = p.output - 1
	}
	id := r.Header.Get(HeaderRequest)
	crashes := s.crashes(r.Header)
	j := &job{id: s.jobID(id), answer: p.answer, stream: p.call.Stream || crashes, changed: make(chan struct{}, 1)}
	p.id = id
	if id == "" {
		p.id = j.id
	}
	s.admit(j, batch.Job{
		ID:      j.id,
		Route:   r.Header.Get(HeaderRoute),
		Version: p.version,
		Prompt:  p.answer.PromptTokens(),
		Output:  p.output,
		Prefix:  prefix(p.answer.Prompt),
		Resume:  p.resume,
	})
	defer s.removeJob(j)
	if draw(j.id, "cross") < s.CrossShare {
		p.id += "-crossed"
	}
	p.cut = draw(j.id, "cut") < s.CutShare
	w.Header().Set(HeaderRequest, p.id)
	w.Header().Set(HeaderVersion, p.version)
	if crashes {
		s.crash(w, r, p, j)
		return
	}
	if p.call.Stream {
		s.stream(w, r, p, j)
		return
	}
	s.answerJSON(w, r, p, j)
}

// jobID returns an id that is unique within the engine, as a resumed request
// arrives again under the same id.
func (s *Server) jobID(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	return id + "#" + strconv.Itoa(s.nextID)
}

// crashes reports whether the engine crashes under a shared part of the prompt.
func (s *Server) crashes(h http.Header) bool {
	return s.CrashPart != 0 && slices.ContainsFunc(header.SharedParts(h.Values(HeaderParts)), func(p ward.PromptPart) bool { return p.ID == s.CrashPart })
}

// crash ends the engine at the first token of an answer, unless the request is cancelled
// before.
func (s *Server) crash(w http.ResponseWriter, r *http.Request, p *reply, j *job) {
	if _, err := s.wait(r.Context(), j, p.resume); err != nil {
		return
	}
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	s.OnCrash()
	panic(http.ErrAbortHandler)
}

// answerJSON answers with one JSON object.
func (s *Server) answerJSON(w http.ResponseWriter, r *http.Request, p *reply, j *job) {
	for seen := p.resume; ; {
		at, err := s.wait(r.Context(), j, seen)
		if err != nil {
			return
		}
		if at.failed {
			writeError(w, http.StatusInternalServerError, "the version failed")
			return
		}
		if at.done {
			break
		}
		seen = at.tokens
	}
	body := p.completionJSON()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if p.cut {
		_, _ = w.Write(body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

// stream answers with server-sent events.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, p *reply, j *job) {
	flush := http.NewResponseController(w)
	sent := p.resume
	for sent < p.output {
		at, err := s.wait(r.Context(), j, sent)
		if err != nil {
			return
		}
		if at.failed {
			writeError(w, http.StatusInternalServerError, "the version failed")
			return
		}
		if sent == p.resume {
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set(HeaderResume, strconv.Itoa(p.resume))
		}
		for ; sent < at.tokens; sent++ {
			if _, err := w.Write(p.event(sent)); err != nil {
				return
			}
		}
		_ = flush.Flush()
		if p.cut && sent >= (p.resume+p.output)/2 {
			panic(http.ErrAbortHandler)
		}
	}
	_, _ = w.Write(p.end())
}

// prefix returns the hashes of the leading blocks of a prompt, as in
// ward.Request.Prefix.
func prefix(prompt string) []uint64 {
	const block = ward.PrefixBlockTokens * 4
	var out []uint64
	for end := block; end <= len(prompt); end += block {
		out = append(out, xxhash.Sum64String(prompt[:end]))
	}
	return out
}

// draw returns a pseudo-random number from 0 to 1 that depends only on its
// arguments.
func draw(id, what string) float64 {
	return float64(xxhash.Sum64String(what+id)>>11) / (1 << 53)
}

// writeError writes an error in the format of the OpenAI API.
func writeError(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(struct {
		Error struct {
			Message string `json:"message"`
			Type    string `json:"type"`
		} `json:"error"`
	}{struct {
		Message string `json:"message"`
		Type    string `json:"type"`
	}{text, "stand-in"}})
}
