package member

import (
	"slices"

	"agateward/ward"
)

// takeFloors takes the floors of a whole state, and passes the state on when one
// has moved.
func (m *Member) takeFloors(r *row, s ward.PeerState) {
	if s.Seq < r.floorsSeq {
		return
	}
	moved := !sameLevels(s.Floors, r.state.Floors)
	r.floorsSeq = s.Seq
	r.state.Floors = s.Floors
	if moved {
		r.full.start(fullLimit)
	}
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
