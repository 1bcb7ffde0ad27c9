package explain

import (
	"slices"
	"time"
)

// contextFilter selects the state changes that may explain what happened to an id: those of
// its batch job, and those in the processes that wrote the matched lines. Of the latter it
// omits the state changes of upstreams that were not involved. For a request that was sent
// to no upstream, those of its service are involved.
type contextFilter struct {
	id          string
	from, until time.Time
	sources     []string
	upstreams   []string
	services    []string // of requests that were sent to no upstream
	batchID     string
}

// newContextFilter returns the filter for the matched lines of id, which must be sorted by
// time.
func newContextFilter(matched []Line, id string) contextFilter {
	f := contextFilter{id: id, from: matched[0].At.Add(-contextBefore), until: matched[len(matched)-1].At.Add(contextAfter)}
	for _, l := range matched {
		f.sources = append(f.sources, l.Source)
		f.upstreams = append(f.upstreams, l.list("tried")...)
		if u := l.Get("upstream"); u != "" {
			f.upstreams = append(f.upstreams, u)
		}
		if service := l.Get("service"); service != "" && l.Get("tried") == noneTried {
			f.services = append(f.services, service)
		}
		if b := l.Get("batch"); b != "" && b != id {
			f.batchID = b
		}
	}
	return f
}

// matches reports whether l is a state change to show.
func (f contextFilter) matches(l Line) bool {
	if l.At.Before(f.from) || l.At.After(f.until) || l.hasValue(f.id) {
		return false
	}
	if l.Get("request") != "" || l.Get("item") != "" {
		return false // line of another request or item
	}
	if b := l.Get("batch"); b != "" {
		return b == f.batchID
	}
	if !slices.Contains(f.sources, l.Source) {
		return false
	}
	u := l.Get("upstream")
	return u == "" || slices.Contains(f.upstreams, u) || slices.Contains(f.services, l.Get("service"))
}

// noneTried is the value of the field "tried" of a request that was sent to no upstream.
const noneTried = "[]"
