// Package refusal writes the answer to a caller whose request was refused or
// failed: status, headers and a JSON body, or an error event if a stream has
// begun.
//
// # Usage
//
//	f := refusal.Of(err, q.ID)
//	f.Write(w)      // if no byte of the answer was sent
//	f.WriteEvent(w) // otherwise
//
// The body has the error format of the OpenAI API.
package refusal

import (
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"agateward/internal/result/code"
)

// Header names of a refusal.
const (
	HeaderCode = "Agateward-Code"
	HeaderRun  = "Agateward-Run"
	// HeaderRetryMillis gives the wait in milliseconds. Common clients read it as
	// well as Retry-After.
	HeaderRetryMillis = "Retry-After-Ms"
)

// defaultRetryAfter applies if the error states no time.
const defaultRetryAfter = time.Second

// RetryAfterError is an error with the time after which the caller may retry.
type RetryAfterError struct {
	Err        error
	RetryAfter time.Duration
}

// Error returns the text of the error.
func (d *RetryAfterError) Error() string { return d.Err.Error() }

// Unwrap returns the error without the time.
func (d *RetryAfterError) Unwrap() error { return d.Err }

// Refusal is the answer to a refused or failed request.
type Refusal struct {
	Code code.Code
	Text string
	// Request is the id of the request, empty if it has none.
	Request string
	// RetryAfter is sent unless it is 0.
	RetryAfter time.Duration
}

// Of returns the refusal for err and the request with the id, which may be
// empty.
func Of(err error, request string) Refusal {
	f := Refusal{Code: code.Of(err), Text: code.Text(err), Request: request}
	if f.Code.Number == code.Internal.Number {
		// The text of an unexpected error may contain addresses and goes to the
		// log only.
		f.Text = "internal error"
	}
	if f.Code.Status == http.StatusServiceUnavailable || f.Code.Status == http.StatusTooManyRequests || f.Code.Number == code.KeyInProgress.Number {
		f.RetryAfter = defaultRetryAfter
	}
	var d *RetryAfterError
	if errors.As(err, &d) && d.RetryAfter > 0 {
		f.RetryAfter = d.RetryAfter
	}
	return f
}

// Write writes status, headers and body to w.
func (f Refusal) Write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderCode, strconv.Itoa(f.Code.Number))
	h.Set(HeaderRun, string(f.Code.Run))
	if f.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(f.RetryAfter.Seconds()))))
		h.Set(HeaderRetryMillis, strconv.FormatInt(f.RetryAfter.Milliseconds(), 10))
	}
	w.WriteHeader(f.Code.Status)
	_, _ = w.Write(append(f.body(), '\n'))
}

// WriteEvent writes the refusal as the last event of an incomplete stream. No
// end mark follows it.
func (f Refusal) WriteEvent(w io.Writer) {
	_, _ = io.WriteString(w, "event: error\ndata: "+string(f.body())+"\n\n")
}

func (f Refusal) body() []byte {
	type detail struct {
		Message string `json:"message"`
		Type    string `json:"type"`
		Code    string `json:"code"`
		Run     string `json:"run"`
		Advice  string `json:"advice"`
		Request string `json:"request,omitempty"`
	}
	b, err := json.Marshal(struct {
		Error detail `json:"error"`
	}{detail{
		Message: f.Text, Type: f.Code.Name, Code: "AW-" + strconv.Itoa(f.Code.Number),
		Run: string(f.Code.Run), Advice: f.Code.Advice, Request: f.Request,
	}})
	if err != nil {
		return []byte(`{"error":{"type":"internal"}}`)
	}
	return b
}
