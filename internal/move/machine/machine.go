// Package machine implements the state machine of a move.
//
// It computes the next state of a move's record from the chart, the plan and the
// results of the analysis. A state that gives the new version more traffic takes
// effect only after the holder of the move's lease has written it to the record
// by compare-and-swap. A quarantine needs no such write: it takes effect at once
// at the entry that makes it, and the machine follows.
//
// The record holds everything that a successor of the holder needs. Any entry
// that holds the lease computes the same next state from the same record, so no
// step is lost or repeated when a holder crashes, and the write of a holder that
// was paused fails.
//
// # Usage
//
//	var m machine.Machine
//	next, changed := m.Next(state, machine.Input{Now: now, Move: move, Holder: self, Fence: lease.Fence})
//	if changed {
//		// Write next by compare-and-swap, then send it to the peers.
//	}
package machine

import (
	"fmt"
	"slices"
	"time"

	"agateward/internal/move/baseline"
	"agateward/internal/move/chart"
	"agateward/internal/move/plan"
	"agateward/ward"
)

const (
	// suspicionThreshold is the natural logarithm of the evidence for harm from which
	// on a version stays at its share for as long as the plan allows.
	suspicionThreshold = 2.0
	// doubtThreshold is the one from which on a version gets no further step, and is
	// rolled back at the deadline.
	doubtThreshold = 4.0
)

// Machine computes the states of moves. The zero value uses the default chart.
type Machine struct{}

// Input holds what the next state depends on besides the record.
type Input struct {
	Now  time.Time
	Move ward.Move
	// Quarantined reports whether the new version is quarantined on a route of the
	// move; QuarantineReason is the reason.
	Quarantined      bool
	QuarantineReason string
	// Approved and Suspicion are the results of the analysis over all routes of the
	// move. Suspicion is a natural logarithm of evidence for harm.
	Approved  bool
	Suspicion float64
	// Worse reports whether the outcomes since the version was approved speak against it.
	Worse bool
	// Opposed and Unclear are those of plan.Evidence.
	Opposed, Unclear bool
	// Answered is the number of outcomes of the new version, Failed that of the failures
	// among them.
	Answered, Failed uint64
	// Failures and Slowness are the evidence of the route that speaks against it most, by
	// the outcomes (analysis.Approval).
	Failures, Slowness float64
	// Requests is the number of requests that were sent to both versions in the last
	// Observed.
	Requests uint64
	Observed time.Duration
	// Loaded reports whether every engine of the move has the version.
	Loaded bool
	// Holder and Fence belong to the lease that the caller holds.
	Holder string
	Fence  uint64
	// Replicas are the registered upstreams of the service; if they are known, a new run starts
	// from what the record and they say, and not from Move.From.
	Replicas []ward.Replica
	// Evidence returns the counts to attach to an outcome event; nil attaches none.
	Evidence func() []ward.Counts
}

// evaluation is one computation of a next state.
type evaluation struct {
	Input
	state ward.MoveState
	plan  plan.Plan
	// lastStep is when the previous state was entered or made its last step.
	lastStep time.Time
}

var guards = map[string]func(ev *evaluation) bool{
	"cancelled":       func(ev *evaluation) bool { return ev.Move.Cancelled },
	"no-time-left":    func(ev *evaluation) bool { return !ev.Now.Before(ev.Move.Deadline) },
	"in-use":          func(ev *evaluation) bool { return ev.state.From != "" && ev.state.From == ev.state.To },
	"started":         func(ev *evaluation) bool { return !ev.Now.Before(ev.Move.Start) },
	"harmed":          func(ev *evaluation) bool { return ev.Quarantined },
	"loaded":          func(ev *evaluation) bool { return ev.Loaded },
	"load-overdue":    func(ev *evaluation) bool { return ev.plan.LoadOverdue(ev.state.Since, ev.Now) },
	"step-due":        func(ev *evaluation) bool { return ev.stepDue() },
	"unproven":        func(ev *evaluation) bool { return ev.unproven() },
	"doubtful":        func(ev *evaluation) bool { return ev.doubtful() },
	"opposed":         func(ev *evaluation) bool { return ev.Opposed && !ev.state.Approved },
	"out-of-time":     func(ev *evaluation) bool { return !ev.Now.Before(ev.Move.Deadline) },
	"all-steps-made":  func(ev *evaluation) bool { return ev.state.Step >= plan.Steps },
	"deadline-passed": func(ev *evaluation) bool { return ev.plan.Settled(ev.state.Since, ev.Now) },
	"spread":          func(ev *evaluation) bool { return ev.plan.Propagated(ev.state.Since, ev.Now) },
}

var actions = map[string]func(ev *evaluation){
	"reason-cancelled":  func(ev *evaluation) { ev.state.Reason = "cancelled by the operator" },
	"reason-in-use":     func(ev *evaluation) { ev.state.Reason = ev.state.To + " was in use at the order" },
	"reason-no-time":    func(ev *evaluation) { ev.state.Reason = "the deadline had passed before the first step" },
	"reason-not-loaded": func(ev *evaluation) { ev.state.Reason = "the engines did not load the version in time" },
	"reason-harm":       func(ev *evaluation) { ev.state.Reason = ev.QuarantineReason },
	"reason-unproven":   func(ev *evaluation) { ev.state.Reason = ev.unprovenText() },
	"reason-doubt":      func(ev *evaluation) { ev.state.Reason = ev.doubtText() },
	"reason-opposed":    func(ev *evaluation) { ev.state.Reason = ev.opposedText() },
	"begin":             func(ev *evaluation) { ev.state.Begin = ev.Now },
	"step-up":           func(ev *evaluation) { ev.stepUp() },
	"drop-share":        func(ev *evaluation) { ev.state.Share = 0 },
	"tell-started":      func(ev *evaluation) { ev.addEvent(ward.EventMoveStarted, "started") },
	"tell-step":         func(ev *evaluation) { ev.addEvent(ward.EventMoveStep, fmt.Sprintf("step %d", ev.state.Step)) },
	"tell-done":         func(ev *evaluation) { ev.addEvent(ward.EventMoveDone, ev.doneText()) },
	"tell-taken-back":   func(ev *evaluation) { ev.addEvent(ward.EventMoveRolledBack, ev.state.Reason) },
}

var moveChart = loadChart()

func loadChart() chart.Chart {
	c, err := chart.Load(chart.Default(), keys(guards), keys(actions))
	if err != nil {
		// Not reached: the chart is embedded, and tests load it.
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

// Next returns the state that follows s, and whether it differs from s.
func (Machine) Next(s ward.MoveState, in Input) (ward.MoveState, bool) {
	s.PendingEvents = slices.Clone(s.PendingEvents)
	ev := evaluation{Input: in, state: s, plan: plan.Plan{Begin: s.Begin, Deadline: in.Move.Deadline}}
	changed := ev.startRun()
	if ev.Approved && !ev.Worse && !ev.state.Approved && !ev.state.Begin.IsZero() {
		ev.state.Approved = true
		changed = true
	}
	t, ok := moveChart.Next(ev.state.State, func(g string) bool { return guards[g](&ev) })
	if ok {
		ev.enter(t)
		changed = true
	}
	if changed {
		ev.state.Holder = in.Holder
		ev.state.Fence = in.Fence
	}
	return ev.state, changed
}

// Final reports whether a move in the state has ended.
func (Machine) Final(s ward.MoveState) bool { return moveChart.Final(s.State) }

// startRun starts a new run if the record belongs to another ticket than the
// move, and reports whether it did. A ticket that cancels the move ends the run
// in progress instead.
func (ev *evaluation) startRun() bool {
	if ev.state.Ticket == ev.Move.Ticket || ev.Move.Cancelled && ev.state.State != "" {
		return false
	}
	from, rejected := ev.Move.From, []string(nil)
	if len(ev.Replicas) > 0 {
		d := baseline.Service{Last: ev.state, Seen: from, Replicas: ev.Replicas}.Decide(ev.Move.To)
		from, rejected = d.Version, d.Rejected
	}
	if ev.state.State != "" && !moveChart.Final(ev.state.State) {
		ev.state.Reason = fmt.Sprintf("replaced by ticket %d", ev.Move.Ticket)
		ev.state.Share = 0
		ev.addEvent(ward.EventMoveRolledBack, ev.state.Reason)
	}
	ev.state = ward.MoveState{
		Move:          ev.Move.Name,
		Ticket:        ev.Move.Ticket,
		To:            ev.Move.To,
		From:          from,
		Rejected:      rejected,
		Evaluated:     ev.Move.Evaluated,
		Revision:      ev.state.Revision,
		State:         moveChart.Initial,
		Since:         ev.Now,
		PendingEvents: ev.state.PendingEvents,
	}
	ev.plan.Begin = time.Time{}
	return true
}

func (ev *evaluation) enter(t chart.Transition) {
	ev.lastStep = ev.state.Since
	ev.state.State = t.To
	if t.To != "settling" {
		// The time in state settling counts from the last step.
		ev.state.Since = ev.Now
	}
	for _, a := range t.Do {
		actions[a](ev)
	}
}

func (ev *evaluation) stepDue() bool {
	return !ev.doubtful() && ev.plan.Due(ev.state.Step, ev.state.Since, ev.Now, ev.evidence())
}

// unproven reports whether the version was not approved in time, or its last steps can't
// be made since the outcomes speak against it.
func (ev *evaluation) unproven() bool {
	e := ev.evidence()
	if ev.state.Approved {
		return !e.Approved && ev.state.Step < plan.Steps && !ev.Now.Before(ev.Move.Deadline)
	}
	return ev.plan.ApprovalOverdue(ev.Now, e)
}

func (ev *evaluation) evidence() plan.Evidence {
	return plan.Evidence{
		Approved: ev.state.Approved && !ev.Worse, Suspected: ev.Suspicion >= suspicionThreshold,
		Opposed: ev.Opposed, Unclear: ev.Unclear, Outcomes: ev.Answered, Requests: ev.Requests, Observed: ev.Observed,
	}
}

// doubtful reports whether the evidence for harm forbids further steps.
func (ev *evaluation) doubtful() bool { return ev.Suspicion >= doubtThreshold }

func (ev *evaluation) unprovenText() string {
	if ev.plan.Few(ev.evidence()) {
		return ev.opposedText()
	}
	return fmt.Sprintf("no evidence in time that %s is no worse: %d requests of both versions in %v, evidence for harm e^%.1f; %s",
		ev.Move.To, ev.Requests, ev.Observed.Round(time.Millisecond), ev.Suspicion, ev.outcomesText())
}

func (ev *evaluation) doubtText() string {
	return fmt.Sprintf("%s is in doubt at the deadline: evidence for harm e^%.1f", ev.Move.To, ev.Suspicion)
}

func (ev *evaluation) opposedText() string {
	return fmt.Sprintf("too few requests to approve %s, and they speak against it: %s", ev.Move.To, ev.outcomesText())
}

// outcomesText describes what is known of the new version.
func (ev *evaluation) outcomesText() string {
	return fmt.Sprintf("%d outcomes, %d of them failures; on the worst route e^%.1f for failures and e^%.1f for slowness",
		ev.Answered, ev.Failed, ev.Failures, ev.Slowness)
}

func (ev *evaluation) stepUp() {
	ev.state.Step++
	ev.state.Share = ev.plan.Share(ev.state.Step)
}

func (ev *evaluation) doneText() string {
	if ev.state.Reason != "" {
		return ev.state.Reason
	}
	if ev.lastStep.After(ev.Move.Deadline) {
		return fmt.Sprintf("done, late: the store let no step be made in time; the whole traffic is on %s since %s",
			ev.Move.To, ev.lastStep.UTC().Format(time.RFC3339))
	}
	if !ev.state.Approved {
		return fmt.Sprintf("done by the clock: the whole traffic is on %s, too few requests came to approve it: %s", ev.Move.To, ev.outcomesText())
	}
	return "done: the whole traffic is on " + ev.Move.To
}

// addEvent adds an event to the record. Its ID does not depend on the entry that
// adds it.
func (ev *evaluation) addEvent(kind ward.EventKind, text string) {
	e := ward.Event{
		ID:     eventID(ev.state, kind, ev.state.Step),
		Kind:   kind,
		At:     ev.Now,
		Ticket: ev.state.Ticket,
		Move:   ev.state.Move,
		Entry:  ev.Holder,
		Share:  ev.state.Share,
		Text:   text,
	}
	if kind == ward.EventMoveDone || kind == ward.EventMoveRolledBack {
		e.ID = outcomeID(ev.state)
		if ev.Evidence != nil {
			e.Evidence = ev.Evidence()
		}
	}
	ev.state.PendingEvents = append(ev.state.PendingEvents, e)
}
