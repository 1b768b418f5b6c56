package runner

import (
	"agateward/internal/measure/capacity"
	"agateward/internal/measure/chaos"
	"agateward/internal/measure/entrycrash"
	"agateward/internal/measure/fleetsize"
	"agateward/internal/measure/moves"
	"agateward/internal/measure/overload"
	"agateward/internal/measure/peers"
	"agateward/internal/measure/relay"
	"agateward/internal/measure/report"
	"agateward/internal/measure/runrecords"
	"agateward/internal/measure/scale"
	"agateward/internal/measure/slowengine"
)

// List returns the experiments in the order in which All runs them. A new
// experiment is a package under internal/measure and one line here.
func List() []report.Experiment {
	return []report.Experiment{
		overload.Experiment{},
		scale.Experiment{},
		slowengine.Experiment{},
		entrycrash.Experiment{},
		runrecords.Experiment{},
		moves.Experiment{},
		relay.Experiment{},
		chaos.Experiment{},
		fleetsize.Experiment{},
		capacity.Experiment{},
		peers.Experiment{},
	}
}
