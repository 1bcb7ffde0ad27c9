// Package homes decides in which regions a request may be served. Routes and client accounts name
// their home regions; those of both apply.
package homes

import (
	"slices"
	"strings"
)

// Homes is a restriction of requests to regions. Nil is no restriction. It is immutable.
type Homes struct {
	// Regions holds the allowed regions, sorted. It is empty if the home regions of a route and of
	// an account have none in common; no region is allowed then.
	Regions []string `json:"regions"`
}

// Of returns the restriction to regions that all lists contain. Empty lists do not restrict. It
// returns nil if all lists are empty.
func Of(lists ...[]string) *Homes {
	var h *Homes
	for _, list := range lists {
		if len(list) > 0 {
			h = h.And(&Homes{Regions: list})
		}
	}
	return h
}

// And returns the restriction to regions that both allow.
func (h *Homes) And(o *Homes) *Homes {
	switch {
	case o == nil:
		return h
	case h == nil:
		regions := slices.Clone(o.Regions)
		slices.Sort(regions)
		return &Homes{Regions: slices.Compact(regions)}
	}
	both := &Homes{Regions: []string{}}
	for _, r := range h.Regions {
		if o.Allows(r) {
			both.Regions = append(both.Regions, r)
		}
	}
	return both
}

// Allows reports whether a request may be sent to a region. An empty name is a region that is not
// known, which no restriction allows.
func (h *Homes) Allows(region string) bool {
	return h == nil || region != "" && slices.Contains(h.Regions, region)
}

// String returns the regions for logs and messages.
func (h *Homes) String() string {
	switch {
	case h == nil:
		return "any"
	case len(h.Regions) == 0:
		return "none"
	}
	return strings.Join(h.Regions, " ")
}
