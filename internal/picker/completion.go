package picker

// Workload is what is known of the work outstanding at an upstream and of its speed. Work is
// in seconds at an upstream of normal speed.
type Workload struct {
	Outstanding float64 // expected work left of the requests of all daemons
	Slots       int
	Slowness    float64 // time for each second of work, lasting
	Momentary   float64 // the same for the moment, relative to Slowness
	Typical     float64 // expected work of a request of the service
}

// Completion returns the expected time until a request is completed, and the part of it in
// which the request waits for the work before it.
func (w Workload) Completion(work float64) (total, wait float64) {
	slowness := w.Slowness * w.Momentary
	wait = w.Outstanding / float64(max(w.Slots, 1)) * slowness
	return wait + work*slowness, wait
}

// completionScorer rates a candidate by the expected completion of the request, in place of
// loadScorer. The unit is the typical work of a request, so that a score has about the scale of
// a score of loadScorer, and the zone has the same weight relative to it.
type completionScorer struct{}

// Score implements Scorer.
func (completionScorer) Score(q Request, c Candidate) float64 {
	total, _ := c.Workload.Completion(q.Work)
	return total / c.Workload.Typical
}

// weighsWork reports whether the workloads of all candidates are known.
func weighsWork(cs []Candidate) bool {
	for _, c := range cs {
		if c.Workload == nil {
			return false
		}
	}
	return len(cs) > 0
}
