package poison

import "time"

// answers holds when suspects were last answered completely. Of the many of a day it keeps
// the ones that were answered last.
type answers struct {
	recent, older map[Suspect]time.Time
}

func (a *answers) set(p Suspect, at time.Time) {
	if len(a.recent) >= maxAnswered/2 {
		a.recent, a.older = nil, a.recent
	}
	if a.recent == nil {
		a.recent = make(map[Suspect]time.Time)
	}
	a.recent[p] = at
}

// at returns when a suspect was last answered, the zero time for never.
func (a *answers) at(p Suspect) time.Time {
	if at, ok := a.recent[p]; ok {
		return at
	}
	return a.older[p]
}
