package answer

import (
	"bytes"
	"encoding/json"
	"strconv"

	"agateward/internal/result/code"
	"agateward/internal/upstream/sse"
)

var endMark = []byte("[DONE]")

// modelStream is the progress of a model's stream.
type modelStream struct {
	// offset is the number of output tokens so far.
	offset int
	// resumed reports whether the caller already has the start of the answer.
	resumed bool
	// id is the id of the answer in the model's events.
	id string
}

// eventResult is what one event adds to an answer.
type eventResult struct {
	tokens int
	// done is set by the end mark.
	done bool
	// repeated reports whether the caller already has the event.
	repeated bool
}

// event holds the fields of a model's event or answer that are read here.
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

// read evaluates one event. An id field that is a number is the offset after
// the event's tokens. Without one, each event with text counts as one token.
func (m *modelStream) read(e sse.Event) (eventResult, error) {
	if bytes.Equal(bytes.TrimSpace(e.Data), endMark) {
		return eventResult{done: true}, nil
	}
	if len(e.Data) == 0 {
		return eventResult{}, nil
	}
	var v event
	if err := json.Unmarshal(e.Data, &v); err != nil {
		return eventResult{}, code.AnswerCut.Wrap(err, "event of the stream")
	}
	if len(v.Error) > 0 && !bytes.Equal(v.Error, []byte("null")) {
		return eventResult{}, code.UpstreamFailed.New("the upstream ended the stream with an error event")
	}
	if m.id == "" {
		m.id = v.ID
	}
	if v.ID != "" && v.ID != m.id {
		return eventResult{}, code.AnswerMismatch.New("an event of another answer came in the stream")
	}
	if !v.hasText() {
		return eventResult{repeated: m.resumed && v.isOpening()}, nil
	}
	return m.advance(e.ID), nil
}

// advance moves the offset past an event with text.
func (m *modelStream) advance(id string) eventResult {
	after, err := strconv.Atoi(id)
	if err != nil {
		after = m.offset + 1
	}
	if after <= m.offset {
		return eventResult{repeated: true}
	}
	p := eventResult{tokens: after - m.offset}
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

// isOpening reports whether the event names the role, as the first event of an
// answer does.
func (v event) isOpening() bool {
	for _, c := range v.Choices {
		if c.Delta.Role != "" && c.Finish == "" {
			return true
		}
	}
	return false
}

// usage returns the number of output tokens that a complete answer reports, 0
// if it reports none.
func usage(body []byte) int {
	var v event
	if json.Unmarshal(body, &v) != nil {
		return 0
	}
	return max(0, v.Usage.CompletionTokens)
}
