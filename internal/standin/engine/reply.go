package engine

import (
	"bytes"
	"encoding/json"
	"strconv"

	"agateward/internal/standin/text"
)

// api is one of the two completion APIs.
type api struct {
	chat   bool
	object string
}

var (
	chat  = api{chat: true, object: "chat.completion"}
	plain = api{object: "text_completion"}
)

// endMark is the last event of a complete stream.
const endMark = "data: [DONE]\n\n"

// reply is the answer to one call.
type reply struct {
	api
	call    call
	answer  text.Answer
	id      string
	model   string
	version string
	resume  int
	output  int
	reason  string
	cut     bool
}

type usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
}

// usage returns the usage of the complete answer, also when a resumed answer sends
// only the rest.
func (p *reply) usage() usage {
	n := p.answer.PromptTokens()
	return usage{Prompt: n, Completion: p.output, Total: n + p.output}
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type choice struct {
	Index   int     `json:"index"`
	Message *delta  `json:"message,omitempty"`
	Delta   *delta  `json:"delta,omitempty"`
	Text    *string `json:"text,omitempty"`
	Finish  *string `json:"finish_reason"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// completionJSON returns the answer as one JSON object.
func (p *reply) completionJSON() []byte {
	content := p.answer.Tokens(p.resume, p.output)
	u := p.usage()
	c := choice{Finish: &p.reason}
	if p.chat {
		c.Message = &delta{Role: "assistant", Content: content}
	} else {
		c.Text = &content
	}
	b, _ := json.Marshal(completion{ID: p.id, Object: p.object, Model: p.model, Choices: []choice{c}, Usage: &u})
	return append(b, '\n')
}

// event returns the event of the token i. Its id is the number of output tokens
// so far, so that a resumed stream can be checked.
func (p *reply) event(i int) []byte {
	word := p.answer.Token(i)
	var c choice
	if p.chat {
		c.Delta = &delta{Content: word}
		if i == 0 {
			c.Delta.Role = "assistant"
		}
	} else {
		c.Text = &word
	}
	if i == p.output-1 {
		c.Finish = &p.reason
	}
	return append([]byte("id: "+strconv.Itoa(i+1)+"\n"), p.chunk([]choice{c}, nil)...)
}

// end returns the usage, if the call asks for it, and the end mark.
func (p *reply) end() []byte {
	if !p.call.StreamOptions.IncludeUsage {
		return []byte(endMark)
	}
	u := p.usage()
	return append(p.chunk([]choice{}, &u), endMark...)
}

func (p *reply) chunk(choices []choice, u *usage) []byte {
	object := p.object
	if p.chat {
		object += ".chunk"
	}
	b, _ := json.Marshal(completion{ID: p.id, Object: object, Model: p.model, Choices: choices, Usage: u})
	var out bytes.Buffer
	out.Grow(len(b) + len("data: \n\n"))
	out.WriteString("data: ")
	out.Write(b)
	out.WriteString("\n\n")
	return out.Bytes()
}

// versionNumber returns the name of the n-th version, for engines without a
// configured version.
func versionNumber(n int) string { return "v" + strconv.Itoa(n) }
