// Package refusal provides the answer to a caller whose request was refused or
// failed: status, headers and a JSON body, or an explicit error event once a
// stream has begun.
//
// # Usage
//
//	f := refusal.Of(err, q.ID)
//	f.Write(w)      // before the first byte of the answer
//	f.WriteEvent(w) // after it
//
// The body has the form that clients of the usual model interface read.
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

// Headers of a refusal.
const (
	HeaderCode = "Agateward-Code"
	HeaderRun  = "Agateward-Run"
	// HeaderRetryMillis is read by common clients beside Retry-After.
	HeaderRetryMillis = "Retry-After-Ms"
)

// defaultRetry is the advice where the decider gave none.
const defaultRetry = time.Second

// RetryAfterError is an error that tells when to ask again.
type RetryAfterError struct {
	Err        error
	RetryAfter time.Duration
}

// Error returns the text of the error.
func (d *RetryAfterError) Error() string { return d.Err.Error() }

// Unwrap returns the error.
func (d *RetryAfterError) Unwrap() error { return d.Err }

// Refusal is one refusal, ready to be written.
type Refusal struct {
	Code       code.Code
	Text       string
	Request    string
	RetryAfter time.Duration
}

// Of makes the refusal of err to the request with the id, which may be empty.
func Of(err error, request string) Refusal {
	f := Refusal{Code: code.Of(err), Text: code.Text(err), Request: request}
	if f.Code.Number == code.Internal.Number {
		// What an unexpected error says may name addresses and is for the log.
		f.Text = "internal error"
	}
	if f.Code.Status == http.StatusServiceUnavailable || f.Code.Status == http.StatusTooManyRequests || f.Code.Number == code.KeyInProgress.Number {
		f.RetryAfter = defaultRetry
	}
	var d *RetryAfterError
	if errors.As(err, &d) && d.RetryAfter > 0 {
		f.RetryAfter = d.RetryAfter
	}
	return f
}

// Write writes status, headers and body.
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

// WriteEvent writes the refusal as the last event of a stream that is not
// whole. No end mark follows it.
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
