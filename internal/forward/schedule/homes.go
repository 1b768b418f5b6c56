package schedule

import "slices"

// Region returns the region of a data centre.
func (o *Options) Region(dataCentre string) string {
	if region, ok := o.Regions[dataCentre]; ok {
		return region
	}
	return dataCentre
}

// InHomes reports whether a data centre lies in one of the given regions. A nil list names
// all regions.
func (o *Options) InHomes(homes []string, dataCentre string) bool {
	return homes == nil || slices.Contains(homes, o.Region(dataCentre))
}

// upstreamsFor returns the upstreams that j may use: those of its homes among the ones that
// this entry uses, or else, in a fleet that is divided into cells, a share of those
// elsewhere.
func (s *Scheduler) upstreamsFor(v *service, j *Job) []*upstream {
	if j.Homes == nil {
		return v.upstreams
	}
	if list := s.inHomes(v.upstreams, j.Homes); usable(list) > 0 || s.Cells == 0 {
		return list
	}
	list := s.inHomes(v.all, j.Homes)
	if own := s.cellShare(slices.Clone(list)); usable(own) > 0 {
		return own
	}
	return list
}

func (s *Scheduler) inHomes(list []*upstream, homes []string) []*upstream {
	var out []*upstream
	for _, u := range list {
		if s.Options.InHomes(homes, u.DataCentre) {
			out = append(out, u)
		}
	}
	return out
}
