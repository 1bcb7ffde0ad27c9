package explain

import (
	"slices"
	"time"
)

// window selects the changes of state that may explain an id: at the processes
// that wrote its lines, about the upstreams that took part and its batch job.
type window struct {
	id          string
	from, until time.Time
	sources     []string
	upstreams   []string
	batch       string
}

func newWindow(own []Line, id string) window {
	w := window{id: id, from: own[0].At.Add(-before), until: own[len(own)-1].At.Add(after)}
	for _, l := range own {
		w.sources = append(w.sources, l.Source)
		w.upstreams = append(w.upstreams, l.list("tried")...)
		if u := l.Get("upstream"); u != "" {
			w.upstreams = append(w.upstreams, u)
		}
		if b := l.Get("batch"); b != "" && b != id {
			w.batch = b
		}
	}
	return w
}

// shows reports whether l is a change of state of interest.
func (w window) shows(l Line) bool {
	if l.At.Before(w.from) || l.At.After(w.until) || l.has(w.id) {
		return false
	}
	if l.Get("request") != "" || l.Get("item") != "" {
		return false // of another request
	}
	if b := l.Get("batch"); b != "" {
		return b == w.batch
	}
	if !slices.Contains(w.sources, l.Source) {
		return false
	}
	u := l.Get("upstream")
	return u == "" || slices.Contains(w.upstreams, u)
}
