package view

import (
	"time"

	"agateward/ward"
)

// adoptEvacuations applies changes of evacuations.
func (v *View) adoptEvacuations(list []ward.Evacuation, source string) {
	v.mu.Lock()
	news := v.evacuations.Apply(list)
	v.mu.Unlock()
	v.evacuationsChanged(news, source)
}

// adoptEvacuationList applies the store's complete list of evacuations.
func (v *View) adoptEvacuationList(list []ward.Evacuation, revision uint64, source string) {
	v.mu.Lock()
	news := v.evacuations.ApplyList(list, revision, time.Now())
	v.mu.Unlock()
	v.evacuationsChanged(news, source)
}

// evacuationsChanged logs the evacuations that began or ended and puts them in force.
func (v *View) evacuationsChanged(news []ward.Evacuation, source string) {
	if len(news) == 0 {
		return
	}
	for _, e := range news {
		v.Log.Info("evacuation-changed", "data-centre", e.DataCentre, "evacuated", !e.Ended, "revision", ward.RevisionText(e.Revision), "source", source)
	}
	v.Changed()
}

// Evacuated returns the number of evacuated data centres.
func (v *View) Evacuated() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.evacuations.Count()
}
