package explain

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"github.com/apricotstream/apricotstream/internal/result"
)

// Write writes the lines of the report, sorted by time, with a mark on the matched lines.
// Then it writes the meaning of their last result code and the number of skipped lines.
func (r Report) Write(w io.Writer) {
	type markedLine struct {
		mark string
		Line
	}
	var all []markedLine
	for _, l := range r.Matched {
		all = append(all, markedLine{">", l})
	}
	for _, l := range r.Context {
		all = append(all, markedLine{" ", l})
	}
	slices.SortStableFunc(all, func(a, b markedLine) int { return a.At.Compare(b.At) })
	for _, e := range all {
		fmt.Fprintf(w, "%s %s %s\n", e.mark, e.Source, e.Text)
	}
	if code, ok := r.outcome(); ok {
		i := code.Info()
		fmt.Fprintf(w, "\nresult %d %s (%s): %s\n%s\n", i.Code, i.Name, i.Class, i.Meaning, i.Advice)
	}
	if r.Skipped > 0 {
		fmt.Fprintf(w, "%d lines were skipped because they are not structured\n", r.Skipped)
	}
}

// outcome returns the last result code in the matched lines. It returns false if there is
// none or if a line with a successful status follows it.
func (r Report) outcome() (result.Code, bool) {
	for _, l := range slices.Backward(r.Matched) {
		if strings.HasPrefix(l.Get("status"), "2") {
			return 0, false
		}
		if n, err := strconv.Atoi(l.Get("code")); err == nil && n > 0 {
			return result.Code(n), true
		}
	}
	return 0, false
}
