package replica

// SetRegions sets the region of each failure domain. It must be called before the set is used.
func (s *Set) SetRegions(regions map[string]string) { s.regions = regions }

// Region returns the region of a failure domain, or an empty string if it is not known.
func (s *Set) Region(domain string) string { return s.regions[domain] }

// OwnRegion returns the region of this host.
func (s *Set) OwnRegion() string { return s.regions[s.domain] }
