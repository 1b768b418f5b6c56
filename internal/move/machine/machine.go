// Package machine is the state machine of a move.
//
// It composes the chart, the plan and what the analysis found into the next
// state of a move's record. A state in which the new version gets more than
// before is a go: the runner puts it in force only after a compare-and-swap of
// the record by the holder of the move's lease. A stop needs no machine: the
// quarantine takes effect where it is made, and the machine follows it.
//
// The record holds all that a successor needs. Any entry that holds the lease
// computes the same next state from the same record, so no step is lost or made
// twice when a holder dies, and the write of a holder that was paused fails.
//
// # Usage
//
//	var m machine.Machine
//	next, changed := m.Next(state, machine.Input{Now: now, Move: move, Holder: self, Fence: lease.Fence})
//	if changed {
//		// Write next by compare-and-swap, then hand it on.
//	}
package machine

import (
	"fmt"
	"slices"
	"time"

	"agateward/internal/move/chart"
	"agateward/internal/move/plan"
	"agateward/ward"
)

// suspicious is the natural logarithm of evidence for harm from which a version
// is held at its share.
const suspicious = 2.0

// Machine computes the states of moves. The zero value uses the default chart.
type Machine struct{}

// Input is what a state depends on besides the record.
type Input struct {
	Now  time.Time
	Move ward.Move
	// Quarantined says that the new version is in quarantine on a route of the move,
	// BrakeReason why.
	Quarantined      bool
	QuarantineReason string
	// Passed and Suspicion are the analysis over all routes of the move.
	Passed    bool
	Suspicion float64
	// Loaded says that every engine of the move has the version.
	Loaded bool
	// Holder and Fence are of the lease that the caller holds.
	Holder string
	Fence  uint64
	// Evidence returns what goes with the event of an outcome; nil adds nothing.
	Evidence func() []ward.Counts
}

type run struct {
	Input
	state ward.MoveState
	plan  plan.Plan
	// lastStep is when the state before was entered or its last step made.
	lastStep time.Time
}

var guards = map[string]func(r *run) bool{
	"cancelled":       func(r *run) bool { return r.Move.Cancelled },
	"no-time-left":    func(r *run) bool { return !r.Now.Before(r.Move.Deadline) },
	"started":         func(r *run) bool { return !r.Now.Before(r.Move.Start) },
	"harmed":          func(r *run) bool { return r.Quarantined },
	"loaded":          func(r *run) bool { return r.Loaded },
	"load-overdue":    func(r *run) bool { return r.plan.LoadOverdue(r.state.Since, r.Now) },
	"step-due":        func(r *run) bool { return r.stepDue() },
	"all-steps-made":  func(r *run) bool { return r.state.Step >= plan.Steps },
	"deadline-passed": func(r *run) bool { return r.plan.Settled(r.state.Since, r.Now) },
	"spread":          func(r *run) bool { return r.plan.Propagated(r.state.Since, r.Now) },
}

var actions = map[string]func(r *run){
	"reason-cancelled":  func(r *run) { r.state.Reason = "cancelled by the operator" },
	"reason-no-time":    func(r *run) { r.state.Reason = "the deadline had passed before the first step" },
	"reason-not-loaded": func(r *run) { r.state.Reason = "the engines did not load the version in time" },
	"reason-harm":       func(r *run) { r.state.Reason = r.QuarantineReason },
	"begin":             func(r *run) { r.state.Begin = r.Now },
	"step-up":           func(r *run) { r.stepUp() },
	"drop-share":        func(r *run) { r.state.Share = 0 },
	"tell-started":      func(r *run) { r.tell(ward.EventMoveStarted, "started") },
	"tell-step":         func(r *run) { r.tell(ward.EventMoveStep, fmt.Sprintf("step %d", r.state.Step)) },
	"tell-done":         func(r *run) { r.tell(ward.EventMoveDone, r.doneText()) },
	"tell-taken-back":   func(r *run) { r.tell(ward.EventMoveRolledBack, r.state.Reason) },
}

var moves = load()

func load() chart.Chart {
	c, err := chart.Load(chart.Default(), keys(guards), keys(actions))
	if err != nil {
		// The chart is part of the program: a test loads it.
		panic(err)
	}
	return c
}

func keys[V any](m map[string]V) []string {
	var list []string
	for k := range m {
		list = append(list, k)
	}
	return list
}

// Next returns the state that follows from s, and whether it differs.
func (Machine) Next(s ward.MoveState, in Input) (ward.MoveState, bool) {
	s.PendingEvents = slices.Clone(s.PendingEvents)
	r := run{Input: in, state: s, plan: plan.Plan{Begin: s.Begin, Deadline: in.Move.Deadline}}
	changed := r.renew()
	t, ok := moves.Next(r.state.State, func(g string) bool { return guards[g](&r) })
	if ok {
		r.enter(t)
		changed = true
	}
	if changed {
		r.state.Holder = in.Holder
		r.state.Fence = in.Fence
	}
	return r.state, changed
}

// Final tells whether a move in the state has ended.
func (Machine) Final(s ward.MoveState) bool { return moves.Final(s.State) }

// renew begins a run when the record is not one of the move's ticket. A ticket
// that cancels ends the run that is under way instead.
func (r *run) renew() bool {
	if r.state.Ticket == r.Move.Ticket || r.Move.Cancelled && r.state.State != "" {
		return false
	}
	if r.state.State != "" && !moves.Final(r.state.State) {
		r.state.Reason = fmt.Sprintf("replaced by ticket %d", r.Move.Ticket)
		r.state.Share = 0
		r.tell(ward.EventMoveRolledBack, r.state.Reason)
	}
	r.state = ward.MoveState{
		Move:          r.Move.Name,
		Ticket:        r.Move.Ticket,
		Revision:      r.state.Revision,
		State:         moves.Initial,
		Since:         r.Now,
		PendingEvents: r.state.PendingEvents,
	}
	r.plan.Begin = time.Time{}
	return true
}

func (r *run) enter(t chart.Transition) {
	r.lastStep = r.state.Since
	r.state.State = t.To
	if t.To != "settling" {
		// Settling counts from the last step.
		r.state.Since = r.Now
	}
	for _, a := range t.Do {
		actions[a](r)
	}
}

func (r *run) stepDue() bool {
	return r.plan.Due(r.state.Step, r.state.Since, r.Now, r.Passed, r.Suspicion >= suspicious)
}

func (r *run) stepUp() {
	r.state.Step++
	r.state.Share = r.plan.Share(r.state.Step)
}

func (r *run) doneText() string {
	if r.lastStep.After(r.Move.Deadline) {
		return fmt.Sprintf("done, late: the store let no step be made in time; the whole traffic is on %s since %s",
			r.Move.To, r.lastStep.UTC().Format(time.RFC3339))
	}
	return "done: the whole traffic is on " + r.Move.To
}

// tell puts an event into the record. Its id is the same whoever tells it.
func (r *run) tell(kind ward.EventKind, text string) {
	e := ward.Event{
		ID:     fmt.Sprintf("%s@%d/%s/%d", r.state.Move, r.state.Ticket, kind, r.state.Step),
		Kind:   kind,
		At:     r.Now,
		Ticket: r.state.Ticket,
		Move:   r.state.Move,
		Entry:  r.Holder,
		Share:  r.state.Share,
		Text:   text,
	}
	if kind == ward.EventMoveDone || kind == ward.EventMoveRolledBack {
		e.ID = outcomeID(r.state)
		if r.Evidence != nil {
			e.Evidence = r.Evidence()
		}
	}
	r.state.PendingEvents = append(r.state.PendingEvents, e)
}
