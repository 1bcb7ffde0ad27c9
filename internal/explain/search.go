package explain

import (
	"bufio"
	"bytes"
	"cmp"
	"io"
	"slices"
	"time"
)

const (
	// maxLineBytes is the maximum length of a line. It is several times the length of the
	// lines that processes write, which leaves room for the words that a collector adds.
	maxLineBytes = 64 << 10
	// contextBefore and contextAfter limit the time of the state changes shown before and
	// after the matched lines. contextBefore covers an election and the expiry of the lease
	// before it.
	contextBefore = 15 * time.Second
	contextAfter  = time.Second
)

// Log is one log file. Search calls Open once for each pass.
type Log struct {
	Name string
	Open func() (io.ReadCloser, error)
}

// Report is the result of a search for an id.
type Report struct {
	Matched []Line // lines with the id, or with the id of a request sent for it
	Context []Line // state changes around the matched lines
	Skipped int    // number of lines that are not structured
}

// Search reads the logs up to three times: for the lines with the id, for the lines of
// requests that were sent for it, and for the state changes around these lines.
func Search(logs []Log, id string) (Report, error) {
	var s Report
	err := scan(logs, func(l Line) {
		if l.hasValue(id) {
			s.Matched = append(s.Matched, l)
		}
	}, &s.Skipped, id)
	if err != nil || len(s.Matched) == 0 {
		return s, err
	}
	if rewardIDs := rewardRequestIDs(s.Matched, id); len(rewardIDs) > 0 {
		err = scan(logs, func(l Line) {
			if !l.hasValue(id) && slices.Contains(rewardIDs, l.Get("request")) {
				s.Matched = append(s.Matched, l)
			}
		}, nil, rewardIDs...)
		if err != nil {
			return s, err
		}
	}
	sortLines(s.Matched)
	filter := newContextFilter(s.Matched, id)
	err = scan(logs, func(l Line) {
		if filter.matches(l) {
			s.Context = append(s.Context, l)
		}
	}, nil)
	sortLines(s.Context)
	return s, err
}

// scan calls each for every structured line that contains one of the words, or for every
// structured line if there are no words. Unless skipped is nil, it adds the number of lines
// that are not structured to *skipped.
func scan(logs []Log, each func(Line), skipped *int, words ...string) error {
	for _, log := range logs {
		if err := scanLog(log, each, skipped, words); err != nil {
			return err
		}
	}
	return nil
}

func scanLog(log Log, each func(Line), skipped *int, words []string) error {
	r, err := log.Open()
	if err != nil {
		return err
	}
	defer r.Close()
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, maxLineBytes), maxLineBytes)
	for lines.Scan() {
		raw := lines.Bytes()
		wanted := len(words) == 0 || slices.ContainsFunc(words, func(w string) bool { return bytes.Contains(raw, []byte(w)) })
		if !wanted {
			if skipped != nil && !bytes.Contains(raw, []byte(timeKey)) {
				*skipped++
			}
			continue
		}
		if l, ok := parse(log.Name, raw); ok {
			each(l)
		} else if skipped != nil {
			*skipped++
		}
	}
	return lines.Err()
}

// rewardRequestIDs returns the ids of the reward requests in the matched lines of an item.
func rewardRequestIDs(matched []Line, id string) []string {
	var out []string
	for _, l := range matched {
		if r := l.Get("reward"); r != "" && r != id && !slices.Contains(out, r) {
			out = append(out, r)
		}
	}
	return out
}

func sortLines(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Source, b.Source)) })
}
