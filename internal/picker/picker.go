// Package picker chooses the upstream for a request in steps. A Filter drops the
// candidates that must not run the request. A Preference narrows the remaining ones, unless
// none would be left. A Scorer rates them. A Picker picks one by the scores.
//
// All steps are pure functions; the random source is passed in. An entry is a daemon that
// takes requests from callers and sends them to upstreams.
package picker

import (
	"math/rand/v2"
	"time"

	"github.com/apricotstream/apricotstream/internal/homes"
	"github.com/apricotstream/apricotstream/internal/origin"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

// Request describes the request that an upstream is chosen for.
type Request struct {
	Service    string
	Entry      string        // ID of the entry; empty if it uses all upstreams alike
	Zone       string        // availability zone of the entry
	MinVersion uint64        // oldest weight version that may run it; 0 for any
	Origin     origin.Origin // of the text that it goes on with; zero if it begins one
	// ConfirmsStart is set if the upstream is asked whether it is the start that was announced
	// before it gets the request.
	ConfirmsStart bool
	Homes         *homes.Homes // the regions that may run it; nil: any
	Exclude       []string     // ids of upstreams that must not run it
	Repeatable    bool         // may be resumed or run again, so cheap upstreams may run it
	Prefix        string       // start of the prompt; empty if there is nothing to cache
	Ends          time.Time    // deadline; zero for none
	ID            string       // of the request, for logs
	Background    bool         // work that was handed in for later; no caller's connection waits
	LeaveRoom     bool         // can wait: it must not queue at an upstream whose slots this entry has filled
	Route         string       // name of the route, for the work that it needs
	Account       string       // client account; empty if there is none
	BodyBytes     int          // size of the body
	Work          float64      // expected work, see Workload; 0 if the workloads of the candidates are not known
}

// Candidate is an upstream with what this entry has observed of it.
type Candidate struct {
	Upstream upstream.Announcement
	InFlight int     // requests of this entry that are in flight there
	Ejected  bool    // it or most of its zone could not be reached recently, see upstream.Health
	Slowness float64 // its response time relative to its peers; 0 or 1 if unknown
	AtRate   bool    // it gets nothing for now, because it is at the rate that it names
	// Workload is set for all candidates of a choice or for none. Its upstreams then state how
	// slow they are.
	Workload *Workload
}

// Filter drops candidates that must not run a request.
type Filter interface {
	Keep(q Request, c Candidate) bool
}

// Scorer rates a candidate; lower is better.
type Scorer interface {
	Score(q Request, c Candidate) float64
}

// Picker picks one of the candidates by their scores and returns its index. There is at
// least one score.
type Picker interface {
	Pick(rnd *rand.Rand, scores []float64) int
}

// Weighted is a scorer with its weight in the total score.
type Weighted struct {
	Scorer Scorer
	Weight float64
}

// Pipeline holds the steps of a choice.
type Pipeline struct {
	Filters     []Filter
	Preferences []Preference
	Scorers     []Weighted
	Picker      Picker
	// WorkScorers and WorkPicker take the places of Scorers and Picker when the workloads of the
	// candidates are known.
	WorkScorers []Weighted
	WorkPicker  Picker
}

// Default returns the pipeline that an entry uses.
func Default() Pipeline {
	return Pipeline{
		Filters:     []Filter{excludedFilter{}, versionFilter{}, originFilter{}, reclaimFilter{}, rateFilter{}, roomFilter{}},
		Preferences: []Preference{recentPreference{}, healthyPreference{}, slownessPreference{}, classPreference{}, affinityPreference{}, subsetPreference{}},
		Scorers:     []Weighted{{loadScorer{}, 1}, {zoneScorer{}, 0.2}},
		Picker:      TwoChoices{},
		WorkScorers: []Weighted{{completionScorer{}, 1}, {zoneScorer{}, 0.2}},
		WorkPicker:  Sample(4),
	}
}

// Choose returns the chosen upstream. It returns false if every candidate was dropped by
// a filter.
func (p Pipeline) Choose(rnd *rand.Rand, q Request, cs []Candidate) (upstream.Announcement, bool) {
	kept := filterCandidates(cs, func(c Candidate) bool { return p.passesFilters(q, c) })
	if len(kept) == 0 {
		return upstream.Announcement{}, false
	}
	kept = p.applyPreferences(q, kept)
	scorers, picker := p.Scorers, p.Picker
	if p.WorkPicker != nil && weighsWork(kept) {
		scorers, picker = p.WorkScorers, p.WorkPicker
	}
	scores := make([]float64, len(kept))
	for i, c := range kept {
		scores[i] = score(scorers, q, c)
	}
	return kept[picker.Pick(rnd, scores)].Upstream, true
}

func (p Pipeline) passesFilters(q Request, c Candidate) bool {
	for _, f := range p.Filters {
		if !f.Keep(q, c) {
			return false
		}
	}
	return true
}

func score(scorers []Weighted, q Request, c Candidate) float64 {
	sum := 0.0
	for _, s := range scorers {
		sum += s.Weight * s.Scorer.Score(q, c)
	}
	return sum
}
