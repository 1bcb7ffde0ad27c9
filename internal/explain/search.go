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
	// maxLine is the longest line read, in bytes: several times what a process
	// writes, to leave room for a collector's words.
	maxLine = 64 << 10
	// before and after bound the changes of state shown around the id's lines. The
	// first covers an election and the end of a lease before it.
	before = 15 * time.Second
	after  = time.Second
)

// Log is one log file. Open is called once for each pass.
type Log struct {
	Name string
	Open func() (io.ReadCloser, error)
}

// Story is what the logs say about an id.
type Report struct {
	Matched []Line // lines with the id, or with a request made for it
	Context []Line // changes of state around them
	Skipped int    // lines that have no structured form
}

// Search reads the logs three times: for the id's own lines, for those of the
// requests made for it, and for the changes of state around them.
func Search(logs []Log, id string) (Report, error) {
	var s Report
	err := scan(logs, func(l Line) {
		if l.has(id) {
			s.Matched = append(s.Matched, l)
		}
	}, &s.Skipped, id)
	if err != nil || len(s.Matched) == 0 {
		return s, err
	}
	if made := requestsOf(s.Matched, id); len(made) > 0 {
		err = scan(logs, func(l Line) {
			if !l.has(id) && slices.Contains(made, l.Get("request")) {
				s.Matched = append(s.Matched, l)
			}
		}, nil, made...)
		if err != nil {
			return s, err
		}
	}
	sortLines(s.Matched)
	w := newWindow(s.Matched, id)
	err = scan(logs, func(l Line) {
		if w.shows(l) {
			s.Context = append(s.Context, l)
		}
	}, nil)
	sortLines(s.Context)
	return s, err
}

// scan calls each for every structured line that contains one of the words, any
// when none is given. It counts the other lines unless skipped is nil.
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
	lines.Buffer(make([]byte, 0, maxLine), maxLine)
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

// requestsOf returns the ids of the requests made for an item.
func requestsOf(own []Line, id string) []string {
	var out []string
	for _, l := range own {
		if r := l.Get("reward"); r != "" && r != id && !slices.Contains(out, r) {
			out = append(out, r)
		}
	}
	return out
}

func sortLines(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Source, b.Source)) })
}
