// Package picker chooses the upstream for a request in named steps: Filter drops
// who must not run it, Preference narrows the rest while any are left, Scorer
// rates them, Picker takes one.
// All steps are pure; the random source is passed in.
package picker

import (
	"math/rand/v2"
	"time"

	"github.com/apricotstream/apricotstream/internal/upstream"
)

// Request is the input of the steps.
type Request struct {
	Service    string
	Zone       string // of the entry
	MinVersion uint64 // oldest weight version that may run it; 0 for any
	Exclude    []string
	Repeatable bool      // may be resumed or repeated: fit for cheap upstreams
	Prefix     string    // start of the prompt; empty when there is nothing to cache
	Ends       time.Time // deadline; zero for none
}

// Candidate is an upstream with this entry's observations of it.
type Candidate struct {
	Upstream upstream.Announcement
	InFlight int     // requests of this entry that run there now
	Ejected  bool    // it, or most of its zone, could not be reached lately
	Slowness float64 // time of its answers beside its peers'; 0 or 1: nothing known
}

// Filter drops candidates that must not run a request.
type Filter interface {
	Keep(q Request, c Candidate) bool
}

// Scorer rates a candidate; lower is better.
type Scorer interface {
	Score(q Request, c Candidate) float64
}

// Picker takes one of the rated candidates. There is at least one.
type Picker interface {
	Pick(rnd *rand.Rand, scores []float64) int
}

// Weighted is a scorer with its weight in the sum.
type Weighted struct {
	Scorer Scorer
	Weight float64
}

// Pipeline is the whole choice.
type Pipeline struct {
	Filters     []Filter
	Preferences []Preference
	Scorers     []Weighted
	Picker      Picker
}

// Default is the pipeline of an entry.
func Default() Pipeline {
	return Pipeline{
		Filters:     []Filter{excluded{}, version{}, reclaim{}},
		Preferences: []Preference{recent{}, healthy{}, brisk{}, class{}, affinity{}},
		Scorers:     []Weighted{{load{}, 1}, {zone{}, 0.2}},
		Picker:      TwoChoices{},
	}
}

// Choose returns the chosen upstream; false when no candidate may run q.
func (p Pipeline) Choose(rnd *rand.Rand, q Request, cs []Candidate) (upstream.Announcement, bool) {
	var kept []Candidate
	for _, c := range cs {
		if p.keep(q, c) {
			kept = append(kept, c)
		}
	}
	if len(kept) == 0 {
		return upstream.Announcement{}, false
	}
	kept = p.prefer(q, kept)
	scores := make([]float64, len(kept))
	for i, c := range kept {
		scores[i] = p.score(q, c)
	}
	return kept[p.Picker.Pick(rnd, scores)].Upstream, true
}

func (p Pipeline) keep(q Request, c Candidate) bool {
	for _, f := range p.Filters {
		if !f.Keep(q, c) {
			return false
		}
	}
	return true
}

func (p Pipeline) score(q Request, c Candidate) float64 {
	sum := 0.0
	for _, s := range p.Scorers {
		sum += s.Weight * s.Scorer.Score(q, c)
	}
	return sum
}
