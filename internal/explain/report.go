package explain

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"github.com/apricotstream/apricotstream/internal/result"
)

// Write prints the story in order of time, the id's own lines marked, and what the
// last result code among them means.
func (s Report) Write(w io.Writer) {
	type entry struct {
		mark string
		Line
	}
	var all []entry
	for _, l := range s.Matched {
		all = append(all, entry{">", l})
	}
	for _, l := range s.Context {
		all = append(all, entry{" ", l})
	}
	slices.SortStableFunc(all, func(a, b entry) int { return a.At.Compare(b.At) })
	for _, e := range all {
		fmt.Fprintf(w, "%s %s %s\n", e.mark, e.Source, e.Text)
	}
	if code, ok := s.outcome(); ok {
		i := code.Info()
		fmt.Fprintf(w, "\nresult %d %s (%s): %s\n%s\n", i.Code, i.Name, i.Class, i.Meaning, i.Advice)
	}
	if s.Skipped > 0 {
		fmt.Fprintf(w, "%d lines without structure were skipped\n", s.Skipped)
	}
}

// outcome returns the last result code that the id's own lines name, unless a
// success came after it.
func (s Report) outcome() (result.Code, bool) {
	for _, l := range slices.Backward(s.Matched) {
		if strings.HasPrefix(l.Get("status"), "2") {
			return 0, false
		}
		if n, err := strconv.Atoi(l.Get("code")); err == nil && n > 0 {
			return result.Code(n), true
		}
	}
	return 0, false
}
