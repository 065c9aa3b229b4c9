package route

import "slices"

// Homes are the restrictions of a request to regions, all of which hold. Each one is a list of the
// allowed regions. Without any, all regions are allowed.
type Homes [][]string

// HomesOf returns the restrictions of a route and of a client account, which may be nil.
func HomesOf(r *Route, a *Account) Homes {
	var homes Homes
	if len(r.Homes) > 0 {
		homes = append(homes, r.Homes)
	}
	if a != nil && len(a.Homes) > 0 {
		homes = append(homes, a.Homes)
	}
	return homes
}

// Allow reports whether a region is allowed.
func (h Homes) Allow(region string) bool {
	for _, allowed := range h {
		if !slices.Contains(allowed, region) {
			return false
		}
	}
	return true
}
