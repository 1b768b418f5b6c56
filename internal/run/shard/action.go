package shard

import (
	"time"

	"agateward/internal/run/record"
	"agateward/ward"
)

// Kind is a kind of action.
type Kind uint8

// Action is an action that the runner must take.
type Action struct {
	Kind Kind
	// Archive is the id of an archive of the shard; empty means the shard's
	// document.
	Archive  string
	Revision uint64
	Value    []byte
	Attempt  string
	Verdict  record.Verdict
	At       time.Time
}

// Result is the result of a call of the store.
type Result struct {
	Record ward.Record
	Err    error
}
