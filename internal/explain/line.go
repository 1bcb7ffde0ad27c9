package explain

import (
	"bytes"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// Line is one structured log line.
type Line struct {
	Source string // process that wrote the line: file name and the last word before the time
	At     time.Time
	Text   string // unchanged text from the time on
	fields []field
}

type field struct{ key, value string }

// timeKey begins every line. Log collectors may add words before it.
const timeKey = "time="

// parse parses a line. It returns false if the line is not a structured log line that
// begins with a time in RFC 3339.
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

// Get returns the value of the first field with the key, or "" if there is none.
func (l Line) Get(key string) string {
	for _, f := range l.fields {
		if f.key == key {
			return f.value
		}
	}
	return ""
}

// list returns the elements of a field with a value such as "[a b]".
func (l Line) list(key string) []string {
	return strings.Fields(strings.Trim(l.Get(key), "[]"))
}

// hasValue reports whether any field has exactly the value id.
func (l Line) hasValue(id string) bool {
	for _, f := range l.fields {
		if f.value == id {
			return true
		}
	}
	return false
}
