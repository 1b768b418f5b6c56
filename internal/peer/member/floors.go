package member

import (
	"cmp"
	"slices"
	"time"

	"agateward/internal/peer/check"
	"agateward/ward"
)

// Bounds of this entry's own floors and draining upstreams, so that its state fits
// into any message.
const (
	maxFloors = 16
	// maxDrainingBytes bounds the sum of the names' lengths.
	maxDrainingBytes = 480
)

// urgentChange reports whether a state has a change that must not wait: a floor,
// the leaving of the entry, or a draining upstream.
func urgentChange(next, old ward.PeerState) bool {
	return next.Leaving != old.Leaving || next.Floor != old.Floor ||
		!sameFloors(next.Floors, old.Floors) || !slices.Equal(next.Draining, old.Draining)
}

// limitFloors returns the floors of this entry that are sent, the lowest first
// when there are too many.
func limitFloors(floors []ward.ServesFloor) []ward.ServesFloor {
	list := slices.DeleteFunc(slices.Clone(floors), func(f ward.ServesFloor) bool { return check.Floor(f) != nil })
	if len(list) <= maxFloors {
		return list
	}
	slices.SortStableFunc(list, func(a, b ward.ServesFloor) int { return cmp.Compare(min(a.Need, a.Floor), min(b.Need, b.Floor)) })
	return list[:maxFloors]
}

// limitDraining returns the draining upstreams that are sent. When not all fit into
// a message, a different part is sent each second.
func limitDraining(now time.Time, names []string) []string {
	list := slices.DeleteFunc(slices.Clone(names), func(s string) bool { return s == "" || len(s) > check.MaxName })
	slices.Sort(list)
	list = slices.Compact(list)
	if totalLen(list) <= maxDrainingBytes {
		return list
	}
	var part []string
	for i := range list {
		name := list[(int(now.Unix()%int64(len(list)))*drainingStride+i)%len(list)]
		if totalLen(part)+len(name) > maxDrainingBytes {
			break
		}
		part = append(part, name)
	}
	slices.Sort(part)
	return part
}

// drainingStride is the number of names by which the part that is sent advances
// each second.
const drainingStride = 3

func totalLen(list []string) int {
	n := 0
	for _, s := range list {
		n += len(s)
	}
	return n
}

// sameFloors reports whether two lists ask for the same floors. A floor at the
// bottom tier is the same as none.
func sameFloors(a, b []ward.ServesFloor) bool { return includesFloors(a, b) && includesFloors(b, a) }

// includesFloors reports whether every floor of a above the bottom tier is in b
// too.
func includesFloors(a, b []ward.ServesFloor) bool {
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
