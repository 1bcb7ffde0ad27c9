package member

import (
	"math"
	"slices"
)

const (
	// activeRatio is the ratio of the largest to the smallest weight above which weighting is
	// active. Below it, equal shares are close enough, and answers stay as they are without it.
	activeRatio = 1.25
	// meanStep is the step in which the ratios between the means of the resources are rounded. An
	// entry that joins or leaves changes the exact ratios, and with them the answers of callers
	// that do not know the entry. Half a step is the largest error that this causes.
	meanStep = 1.04
)

// Weighting holds the weights of the entries of a deployment. An entry's weight is the part of
// the traffic that it receives, as a multiple of the mean.
type Weighting struct {
	Active bool // whether the weights differ enough to be followed

	entries []Daemon
	ratios  []float64 // of entries: the weights times mean
	mean    float64   // of ratios
}

// NewWeighting returns the weights of entries: for each one the minimum over the resources that it
// reports of its own value divided by the mean of those that report the resource. An entry
// that reports none has the mean weight.
func NewWeighting(entries []Daemon) Weighting {
	w := Weighting{entries: entries, ratios: make([]float64, len(entries)), mean: 1}
	means := resourceMeans(entries)
	sum, known := 0.0, 0
	for i, d := range entries {
		for r, own := range d.Capacity.resources() {
			if x := own / means[r]; own > 0 && (w.ratios[i] == 0 || x < w.ratios[i]) {
				w.ratios[i] = x
			}
		}
		if w.ratios[i] > 0 {
			sum += w.ratios[i]
			known++
		}
	}
	if known > 0 {
		w.mean = sum / float64(known)
	}
	for i, x := range w.ratios {
		if x == 0 {
			w.ratios[i] = w.mean
		}
	}
	smallest, largest := w.Range()
	w.Active = largest > activeRatio*smallest
	return w
}

// Range returns the smallest and the largest weight, 1 without entries.
func (w Weighting) Range() (smallest, largest float64) {
	if len(w.ratios) == 0 {
		return 1, 1
	}
	return slices.Min(w.ratios) / w.mean, slices.Max(w.ratios) / w.mean
}

// resourceMeans returns the mean of each resource over the entries that report it. The ratios
// between the means are rounded.
func resourceMeans(entries []Daemon) (means [resourceCount]float64) {
	var counts [resourceCount]float64
	for _, d := range entries {
		for r, own := range d.Capacity.resources() {
			if own > 0 {
				means[r] += own
				counts[r]++
			}
		}
	}
	first := 0.0 // mean of the first resource that is reported
	for r := range means {
		if counts[r] == 0 {
			continue
		}
		means[r] /= counts[r]
		if first == 0 {
			first = means[r]
		}
		means[r] = first * roundToStep(means[r]/first, meanStep)
	}
	return means
}

// roundToStep rounds x, which is above 0, to a power of step.
func roundToStep(x, step float64) float64 {
	return math.Pow(step, math.Round(math.Log(x)/math.Log(step)))
}

// Of returns the weight of an entry, 1 if it is not known.
func (w Weighting) Of(id string) float64 {
	if i := slices.IndexFunc(w.entries, func(d Daemon) bool { return d.ID == id }); i >= 0 {
		return w.ratios[i] / w.mean
	}
	return 1
}

// Share returns the part of what all entries share that belongs to an entry: an equal part unless
// weighting is active.
func (w Weighting) Share(id string) float64 {
	equal := 1 / float64(max(len(w.entries), 1))
	if !w.Active {
		return equal
	}
	return w.Of(id) * equal
}
