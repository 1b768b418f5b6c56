// Package code provides the numbered result codes: what each says about a
// request's execution, its HTTP status and when to ask again.
//
// # Usage
//
// A refusal is made from a code and keeps its cause:
//
//	return code.Shed.New("tier %d is below the floor %d", r.Tier, floor)
//	return code.StoreUnavailable.Wrap(err, "write intent of key %q", key)
//
// A surface finds the code again, whatever wrapped the error:
//
//	c := code.Of(err)
//	w.WriteHeader(c.Status)
//
// The table in docs/CODES.md is compared with Table by a test.
package code

import (
	"errors"
	"fmt"

	"agateward/ward"

	"github.com/joomcode/errorx"
)

// Code is one numbered result. Its values are the variables of this package.
type Code struct {
	// Number is printed as AW-Number. The thousands tell the area.
	Number int
	// Name is the kebab-case name.
	Name string
	// Run is what is known about the request's execution.
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

// define adds a code to the table, in order of number.
func define(number int, name string, run ward.RunState, status int, advice string) Code {
	c := Code{Number: number, Name: name, Run: run, Status: status, Advice: advice, kind: namespace.NewType(name)}
	table = append(table, c)
	return c
}

// Table returns all codes in order of number.
func Table() []Code { return append([]Code(nil), table...) }

// String returns the code as it is printed, such as "AW-2002 shed".
func (c Code) String() string { return fmt.Sprintf("AW-%d %s", c.Number, c.Name) }

// New returns an error with this code.
func (c Code) New(format string, args ...any) error {
	return c.kind.New(format, args...).WithProperty(propertyCode, c)
}

// Wrap returns an error with this code that keeps its cause: errors.Is and
// errors.As find what err holds.
func (c Code) Wrap(err error, format string, args ...any) error {
	return &wrapped{c.kind.Wrap(err, format, args...).WithProperty(propertyCode, c), err}
}

// wrapped shows the cause to errors.Is, which an errorx.Error hides.
type wrapped struct {
	coded *errorx.Error
	cause error
}

// Error returns the text of the coded error.
func (w *wrapped) Error() string { return w.coded.Error() }

// Unwrap returns the coded error first, so that the outermost code is found
// before one of the cause.
func (w *wrapped) Unwrap() []error { return []error{w.coded, w.cause} }

// Is tells whether err carries this code.
func (c Code) Is(err error) bool { return err != nil && Of(err).Number == c.Number }

// Of returns the code that err carries, the outermost one first, and Internal
// when it carries none.
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

// Text returns the sentence of err for a caller or an operator, without the
// chain of types that errorx prints.
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
