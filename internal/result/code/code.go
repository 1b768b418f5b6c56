// Package code provides the numbered result codes. A code states whether the
// request ran, the HTTP status and what the caller should do.
//
// # Usage
//
// An error is made from a code and keeps its cause:
//
//	return code.Shed.New("tier %d is below the floor %d", r.Tier, floor)
//	return code.StoreUnavailable.Wrap(err, "write intent of key %q", key)
//
// A handler finds the code of an error, also of a wrapped one:
//
//	c := code.Of(err)
//	w.WriteHeader(c.Status)
//
// A test compares the table in docs/CODES.md with Table.
package code

import (
	"errors"
	"fmt"
	"net/http"

	"agateward/ward"

	"github.com/joomcode/errorx"
)

// Code is one numbered result code. All codes are variables of this package.
type Code struct {
	// Number is printed as AW-Number. The thousands digit is the area.
	Number int
	// Name is the kebab-case name.
	Name string
	// Run is whether the request ran, as far as that is known.
	Run ward.RunState
	// Status is the HTTP status.
	Status int
	// Advice tells the caller what to do.
	Advice string
	kind   *errorx.Type
}

var (
	namespace    = errorx.NewNamespace("agateward")
	propertyCode = errorx.RegisterProperty("code")
	table        []Code
)

// define adds a code to the table. Calls are in order of number.
func define(number int, name string, run ward.RunState, status int, advice string) Code {
	c := Code{Number: number, Name: name, Run: run, Status: status, Advice: advice, kind: namespace.NewType(name)}
	table = append(table, c)
	return c
}

// Table returns all codes in order of number.
func Table() []Code { return append([]Code(nil), table...) }

// PromisesNotRun reports whether an HTTP status promises the caller that its request
// did not run and never will.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// String returns the code as it is printed, such as "AW-2002 shed".
func (c Code) String() string { return fmt.Sprintf("AW-%d %s", c.Number, c.Name) }

// New returns an error with this code.
func (c Code) New(format string, args ...any) error {
	return c.kind.New(format, args...).WithProperty(propertyCode, c)
}

// Wrap returns an error with this code and the cause err, which errors.Is and
// errors.As find.
func (c Code) Wrap(err error, format string, args ...any) error {
	return &wrapped{c.kind.Wrap(err, format, args...).WithProperty(propertyCode, c), err}
}

// wrapped exposes the cause to errors.Is and errors.As, which errorx.Error
// does not.
type wrapped struct {
	coded *errorx.Error
	cause error
}

// Error returns the text of the coded error.
func (w *wrapped) Error() string { return w.coded.Error() }

// Unwrap returns the coded error first, so that the outermost code is found
// before one of the cause.
func (w *wrapped) Unwrap() []error { return []error{w.coded, w.cause} }

// Is reports whether err carries this code.
func (c Code) Is(err error) bool { return err != nil && Of(err).Number == c.Number }

// Of returns the outermost code of err, or Internal when it carries none.
func Of(err error) Code {
	var x *errorx.Error
	for errors.As(err, &x) {
		if v, ok := x.Property(propertyCode); ok {
			return v.(Code)
		}
		err = x.Cause()
	}
	return Internal
}

// Text returns the message of err for a caller or an operator, without the
// error types that errorx prints.
func Text(err error) string {
	var x *errorx.Error
	if !errors.As(err, &x) {
		return err.Error()
	}
	if cause := x.Cause(); cause != nil {
		return x.Message() + ": " + Text(cause)
	}
	return x.Message()
}
