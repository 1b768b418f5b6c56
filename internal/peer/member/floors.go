package member

import (
	"cmp"
	"slices"
	"time"

	"agateward/internal/peer/check"
	"agateward/ward"
)

// Bounds of what an entry tells of its own floors and of upstreams that leave,
// so that its state fits into any message.
const (
	maxFloors = 16
	// maxDraining is in bytes of names.
	maxDraining = 480
)

// moved tells whether a state has news that must not wait: a floor, the word
// that the entry stops, or an upstream that leaves.
func moved(next, old ward.PeerState) bool {
	return next.Leaving != old.Leaving || next.Floor != old.Floor ||
		!sameLevels(next.Floors, old.Floors) || !slices.Equal(next.Draining, old.Draining)
}

// ownFloors returns what is told of this entry's floors, the lowest first.
func ownFloors(floors []ward.ServesFloor) []ward.ServesFloor {
	list := slices.DeleteFunc(slices.Clone(floors), func(f ward.ServesFloor) bool { return check.Floor(f) != nil })
	if len(list) <= maxFloors {
		return list
	}
	slices.SortStableFunc(list, func(a, b ward.ServesFloor) int { return cmp.Compare(min(a.Need, a.Floor), min(b.Need, b.Floor)) })
	return list[:maxFloors]
}

// ownDraining returns what is told of upstreams that leave. More than fit into
// a message are told in turn, a part a second.
func ownDraining(now time.Time, names []string) []string {
	list := slices.DeleteFunc(slices.Clone(names), func(s string) bool { return s == "" || len(s) > check.MaxName })
	slices.Sort(list)
	list = slices.Compact(list)
	if bytes(list) <= maxDraining {
		return list
	}
	var part []string
	for i := range list {
		name := list[(int(now.Unix()%int64(len(list)))*turnNames+i)%len(list)]
		if bytes(part)+len(name) > maxDraining {
			break
		}
		part = append(part, name)
	}
	slices.Sort(part)
	return part
}

// turnNames is by how many names the part that is told moves on each second.
const turnNames = 3

func bytes(list []string) int {
	n := 0
	for _, s := range list {
		n += len(s)
	}
	return n
}

// sameLevels tells whether two lists of floors ask for the same. One at rest is
// as good as none.
func sameLevels(a, b []ward.ServesFloor) bool { return coversLevels(a, b) && coversLevels(b, a) }

// coversLevels tells whether every floor of a that is not at rest is in b too.
func coversLevels(a, b []ward.ServesFloor) bool {
	for _, x := range a {
		if x.Need >= ward.TierBottom && x.Floor >= ward.TierBottom {
			continue
		}
		same := func(y ward.ServesFloor) bool {
			return x.Serves == y.Serves && x.Need == y.Need && x.Floor == y.Floor
		}
		if !slices.ContainsFunc(b, same) {
			return false
		}
	}
	return true
}
