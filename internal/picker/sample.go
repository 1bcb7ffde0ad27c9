package picker

import "math/rand/v2"

// Sample draws up to the given number of candidates at random and picks the one with the
// lowest score. More than two choices need scores that tell entries apart: see the table in
// docs/design/fairness.md.
type Sample int

// Pick implements Picker.
func (s Sample) Pick(rnd *rand.Rand, scores []float64) int {
	best, drawn, needed := -1, 0, min(int(s), len(scores))
	// Each candidate is drawn with the probability of still being needed, which draws without
	// repetition and without memory for a permutation.
	for at, left := rnd.IntN(len(scores)), len(scores); drawn < needed; at, left = (at+1)%len(scores), left-1 {
		if rnd.IntN(left) >= needed-drawn {
			continue
		}
		drawn++
		if best < 0 || scores[at] < scores[best] {
			best = at
		}
	}
	return best
}
