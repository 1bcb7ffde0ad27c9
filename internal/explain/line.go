package explain

import (
	"bytes"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// Line is one structured log line.
type Line struct {
	Source string // process that wrote it: the file's name, and what precedes the time
	At     time.Time
	Text   string // from the time on, as written
	fields []field
}

type field struct{ key, value string }

// timeKey begins every line; collectors may put their own words before it.
const timeKey = "time="

// parse reads a line; false when it is not a structured one.
func parse(file string, raw []byte) (Line, bool) {
	begin := bytes.Index(raw, []byte(timeKey))
	if begin < 0 {
		return Line{}, false
	}
	l := Line{Source: file, Text: string(raw[begin:])}
	if words := strings.Fields(string(raw[:begin])); len(words) > 0 {
		l.Source = strings.TrimSpace(file + " " + words[len(words)-1])
	}
	d := logfmt.NewDecoder(strings.NewReader(l.Text))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			l.fields = append(l.fields, field{string(d.Key()), string(d.Value())})
		}
	}
	if d.Err() != nil || len(l.fields) == 0 {
		return Line{}, false
	}
	at, err := time.Parse(time.RFC3339, l.fields[0].value)
	if err != nil {
		return Line{}, false
	}
	l.At = at
	return l, true
}

// Get returns the value of a field; empty when it is missing.
func (l Line) Get(key string) string {
	for _, f := range l.fields {
		if f.key == key {
			return f.value
		}
	}
	return ""
}

// list returns the elements of a field such as "[a b]".
func (l Line) list(key string) []string {
	return strings.Fields(strings.Trim(l.Get(key), "[]"))
}

// has reports whether any field has exactly the value id.
func (l Line) has(id string) bool {
	for _, f := range l.fields {
		if f.value == id {
			return true
		}
	}
	return false
}
