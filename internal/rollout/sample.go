package rollout

import "github.com/apricotstream/apricotstream/internal/result"

// Segment is a sequence of tokens that one weight version produced.
type Segment struct {
	Version uint64 `json:"version"`
	Tokens  int    `json:"tokens"`
}

// Sample is one delivered position of a step.
type Sample struct {
	Position  int       `json:"position"`       // from 1
	Void      bool      `json:"void,omitempty"` // no sample is delivered at this position
	Group     int       `json:"group"`
	Index     int       `json:"index"` // within the group
	Text      string    `json:"text,omitempty"`
	Segments  []Segment `json:"segments,omitempty"`  // as reported by the engines, in order
	Upstreams []string  `json:"upstreams,omitempty"` // that produced the sample, in order
	RequestID string    `json:"request_id,omitempty"`
}

// OldestVersion returns the oldest weight version of the segments.
func (s Sample) OldestVersion() uint64 {
	var oldest uint64
	for i, g := range s.Segments {
		if i == 0 || g.Version < oldest {
			oldest = g.Version
		}
	}
	return oldest
}

// Tokens returns the number of tokens of all segments.
func (s Sample) Tokens() int {
	n := 0
	for _, g := range s.Segments {
		n += g.Tokens
	}
	return n
}

// add appends text and its tokens, which one weight version produced. It fails with
// LabelMissing if there are tokens without a version or text without tokens.
func (s *Sample) add(text string, tokens int, version uint64) error {
	if tokens > 0 && version == 0 {
		return result.New(result.LabelMissing, "the chunk has tokens without a weight version")
	}
	if tokens == 0 && text != "" {
		return result.New(result.LabelMissing, "the chunk has text without tokens")
	}
	s.Text += text
	if tokens == 0 {
		return nil
	}
	if n := len(s.Segments); n > 0 && s.Segments[n-1].Version == version {
		s.Segments[n-1].Tokens += tokens
		return nil
	}
	s.Segments = append(s.Segments, Segment{Version: version, Tokens: tokens})
	return nil
}
