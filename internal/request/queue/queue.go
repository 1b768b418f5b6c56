// Package queue orders the requests that wait in an entry for one version of a
// model or service.
//
// Tiers have strict priority. Within a tier, teams share capacity by tokens
// (start-time fair queueing): each team has a virtual start time that grows with
// the cost of its served requests divided by its weight, and the team with the
// lowest one is next. Within a team, the earliest due time is first.
//
// # Usage
//
//	var q queue.Queue
//	q.Push(&queue.Item{ID: r.ID, Team: r.Team, Tier: r.Tier, Due: r.Deadline, Cost: 800})
//	for it := q.Head(); it != nil && fits(it); it = q.Head() {
//		q.Pop()
//	}
//
// Push, Pop and Remove cost O(log n) and allocate nothing once the queue has
// reached its largest size. A Queue is not safe for concurrent use.
package queue

import (
	"time"

	"agateward/ward"
)

// Item is one waiting request. Its fields must not change while it waits.
type Item struct {
	ID   string
	Team string
	// Weight is the team's weight; values below 1 count as 1.
	Weight int
	Tier   ward.Tier
	// Due orders the requests of a team; Latest is the latest useful time of a
	// dispatch.
	Due    time.Time
	Latest time.Time
	// Cost is the work of the request in tokens of prefill.
	Cost float64
	// Request is not used by the queue.
	Request *ward.Request
	// Draw is a random number in [0, 1) that chooses the version, Attempts the
	// number of attempted connections and Since the time of queueing.
	Draw     float64
	Attempts int
	Since    time.Time

	team      *team
	duePos    int
	latestPos int
}

// Waiting reports whether the item is in a queue.
func (it *Item) Waiting() bool { return it.team != nil }

// Queue is a queue of items. Its zero value is empty and ready to use.
type Queue struct {
	tiers  [ward.TierCount]tier
	latest heap[*Item]
	size   int
	cost   float64
}

// tier holds the waiting requests of one tier by team.
type tier struct {
	teams       map[string]*team
	next        heap[*team]
	backlog     heap[*team]
	virtualTime float64
	size        int
	cost        float64
	weight      int
}

// team holds the waiting requests of one team in one tier.
type team struct {
	items  heap[*Item]
	weight int
	// start is the virtual start time of the team's next request.
	start      float64
	cost       float64
	nextPos    int
	backlogPos int
}

// maxIdleTeams is the number of teams of a tier from which on idle teams are
// evicted.
const maxIdleTeams = 4096

// Push adds an item.
func (q *Queue) Push(it *Item) {
	if q.latest.less == nil {
		q.init()
	}
	t := &q.tiers[index(it.Tier)]
	tm := t.team(it.Team)
	weight := max(it.Weight, 1)
	if tm.items.len() == 0 {
		tm.start = max(tm.start, t.virtualTime)
		tm.weight = weight
		tm.cost = 0
		t.weight += weight
	}
	it.team = tm
	tm.items.push(it)
	tm.cost += it.Cost
	t.cost += it.Cost
	t.size++
	q.cost += it.Cost
	q.size++
	q.latest.push(it)
	if tm.items.len() == 1 {
		t.next.push(tm)
		t.backlog.push(tm)
		return
	}
	t.backlog.fix(tm.backlogPos)
}

// Head returns the next item, or nil if the queue is empty.
func (q *Queue) Head() *Item {
	for i := range q.tiers {
		if q.tiers[i].size > 0 {
			return q.tiers[i].next.xs[0].items.xs[0]
		}
	}
	return nil
}

// Pop removes the next item and charges its team for it. It returns nil if the
// queue is empty.
func (q *Queue) Pop() *Item {
	it := q.Head()
	if it == nil {
		return nil
	}
	t := &q.tiers[index(it.Tier)]
	tm := it.team
	t.virtualTime = tm.start
	tm.start += it.Cost / float64(tm.weight)
	t.next.fix(tm.nextPos)
	q.Remove(it)
	return it
}

// Remove removes an item at any position without charging its team. An item that
// is not in a queue is ignored.
func (q *Queue) Remove(it *Item) {
	tm := it.team
	if tm == nil {
		return
	}
	t := &q.tiers[index(it.Tier)]
	it.team = nil
	tm.items.remove(it.duePos)
	q.latest.remove(it.latestPos)
	tm.cost -= it.Cost
	t.cost -= it.Cost
	t.size--
	q.cost -= it.Cost
	q.size--
	if tm.items.len() > 0 {
		t.backlog.fix(tm.backlogPos)
		return
	}
	t.next.remove(tm.nextPos)
	t.backlog.remove(tm.backlogPos)
	t.weight -= tm.weight
	if t.size == 0 {
		t.cost = 0
	}
	if q.size == 0 {
		q.cost = 0
	}
}

// Victim returns the item to displace first: in the lowest waiting tier, one of
// the late due items of the team with the largest backlog for its weight. It
// returns nil if nothing waits below tier above.
func (q *Queue) Victim(above ward.Tier) *Item {
	for i := ward.TierCount - 1; i > index(above); i-- {
		if t := &q.tiers[i]; t.size > 0 {
			xs := t.backlog.xs[0].items.xs
			return xs[len(xs)-1]
		}
	}
	return nil
}

// Expired returns an item whose Latest time has passed, or nil.
func (q *Queue) Expired(now time.Time) *Item {
	if q.size == 0 || q.latest.xs[0].Latest.After(now) {
		return nil
	}
	return q.latest.xs[0]
}

// CostAhead returns the cost that is served before a new item of a team: that of
// higher tiers, and that of its own tier by fair queueing.
func (q *Queue) CostAhead(tier ward.Tier, name string, weight int) (higher, own float64) {
	i := index(tier)
	for j := range i {
		higher += q.tiers[j].cost
	}
	t := &q.tiers[i]
	if t.size == 0 {
		return higher, 0
	}
	tm := t.teams[name]
	if tm == nil || tm.items.len() == 0 {
		return higher, 0
	}
	return higher, min(t.cost, tm.cost*float64(t.weight)/float64(max(weight, 1)))
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return q.size }

// Cost returns the sum of the costs of the waiting items.
func (q *Queue) Cost() float64 { return q.cost }

// Waiting returns the number of waiting items by tier, from ward.TierTop.
func (q *Queue) Waiting() [ward.TierCount]int {
	var n [ward.TierCount]int
	for i := range q.tiers {
		n[i] = q.tiers[i].size
	}
	return n
}

// Each calls f for every waiting item, in no particular order.
func (q *Queue) Each(f func(*Item)) {
	for _, it := range q.latest.xs {
		f(it)
	}
}

// init sets the orders and position setters of the heaps.
func (q *Queue) init() {
	q.latest.less = func(a, b *Item) bool { return a.Latest.Before(b.Latest) }
	q.latest.setPos = func(it *Item, i int) { it.latestPos = i }
	for i := range q.tiers {
		t := &q.tiers[i]
		t.teams = make(map[string]*team)
		t.next.less = func(a, b *team) bool { return a.start < b.start }
		t.next.setPos = func(tm *team, i int) { tm.nextPos = i }
		t.backlog.less = func(a, b *team) bool {
			return a.cost*float64(b.weight) > b.cost*float64(a.weight)
		}
		t.backlog.setPos = func(tm *team, i int) { tm.backlogPos = i }
	}
}

// team returns the team of a name, and creates it if needed.
func (t *tier) team(name string) *team {
	if tm := t.teams[name]; tm != nil {
		return tm
	}
	if len(t.teams) >= maxIdleTeams {
		t.evictIdle()
	}
	tm := &team{}
	tm.items.less = func(a, b *Item) bool { return a.Due.Before(b.Due) }
	tm.items.setPos = func(it *Item, i int) { it.duePos = i }
	t.teams[name] = tm
	return tm
}

// evictIdle removes the teams that have no waiting items and were not served
// ahead of the others.
func (t *tier) evictIdle() {
	for name, tm := range t.teams {
		if tm.items.len() == 0 && tm.start <= t.virtualTime {
			delete(t.teams, name)
		}
	}
}

func index(t ward.Tier) int {
	return int(min(max(t, ward.TierTop), ward.TierBottom) - ward.TierTop)
}
