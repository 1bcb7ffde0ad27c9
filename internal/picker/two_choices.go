package picker

import "math/rand/v2"

// TwoChoices draws two candidates at random and picks the one with the lower score. This
// keeps entries that all see the same lagging load reports from choosing the same
// upstream.
type TwoChoices struct{}

// Pick implements Picker.
func (TwoChoices) Pick(rnd *rand.Rand, scores []float64) int {
	n := len(scores)
	if n == 1 {
		return 0
	}
	a := rnd.IntN(n)
	b := rnd.IntN(n - 1)
	if b >= a {
		b++
	}
	if scores[b] < scores[a] {
		return b
	}
	return a
}
