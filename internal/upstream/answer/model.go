package answer

import (
	"bytes"
	"encoding/json"
	"strconv"

	"agateward/internal/result/code"
	"agateward/internal/upstream/sse"
)

var endMark = []byte("[DONE]")

// model follows a model's stream.
type model struct {
	// offset is the number of output tokens so far.
	offset int
	// resumed says that the caller has the start of the answer.
	resumed bool
	// id is the answer's id in the model's own events.
	id string
}

// part is what one event adds.
type part struct {
	tokens   int
	done     bool
	repeated bool
}

// event is the part of a model's event or answer that is looked at.
type event struct {
	ID      string `json:"id"`
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Role    string `json:"role"`
			Content string `json:"content"`
		} `json:"delta"`
		Finish string `json:"finish_reason"`
	} `json:"choices"`
	Usage struct {
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
	Error json.RawMessage `json:"error"`
}

// read looks at one event. An id field that is a number is the offset after the
// event's tokens; without one, each event with text counts as one token.
func (m *model) read(e sse.Event) (part, error) {
	if bytes.Equal(bytes.TrimSpace(e.Data), endMark) {
		return part{done: true}, nil
	}
	if len(e.Data) == 0 {
		return part{}, nil
	}
	var v event
	if err := json.Unmarshal(e.Data, &v); err != nil {
		return part{}, code.AnswerCut.Wrap(err, "event of the stream")
	}
	if len(v.Error) > 0 && !bytes.Equal(v.Error, []byte("null")) {
		return part{}, code.UpstreamFailed.New("the upstream ended the stream with an error event")
	}
	if m.id == "" {
		m.id = v.ID
	}
	if v.ID != "" && v.ID != m.id {
		return part{}, code.AnswerMismatch.New("an event of another answer came in the stream")
	}
	if !v.hasText() {
		return part{repeated: m.resumed && v.opens()}, nil
	}
	return m.advance(e.ID), nil
}

func (m *model) advance(id string) part {
	after, err := strconv.Atoi(id)
	if err != nil {
		after = m.offset + 1
	}
	if after <= m.offset {
		return part{repeated: true}
	}
	p := part{tokens: after - m.offset}
	m.offset = after
	return p
}

func (v event) hasText() bool {
	for _, c := range v.Choices {
		if c.Text != "" || c.Delta.Content != "" {
			return true
		}
	}
	return false
}

// opens tells the event that names the role before any text.
func (v event) opens() bool {
	for _, c := range v.Choices {
		if c.Delta.Role != "" && c.Finish == "" {
			return true
		}
	}
	return false
}

// usage returns the output tokens that a whole answer states, 0 if none.
func usage(body []byte) int {
	var v event
	if json.Unmarshal(body, &v) != nil {
		return 0
	}
	return max(0, v.Usage.CompletionTokens)
}
