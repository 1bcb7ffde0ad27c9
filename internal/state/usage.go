package state

import (
	"slices"
	"strings"
	"time"

	"github.com/apricotstream/apricotstream/internal/result"
)

// Usage is what one client account used of one service.
type Usage struct {
	Account  string `json:"account"`
	Service  string `json:"service"`
	Requests int64  `json:"requests"`
	Tokens   int64  `json:"tokens"`
}

// UsageDelta is what an entry counted since its previous delta.
type UsageDelta struct {
	Source  string    `json:"source"` // incarnation of the entry
	Seq     uint64    `json:"seq"`    // from 1, without gaps
	Items   []Usage   `json:"items"`
	Created time.Time `json:"formed"` // wall clock of the entry when it was cut
}

// UsageSource is what is known of one incarnation of an entry.
type UsageSource struct {
	Seq uint64    `json:"seq"` // newest delta counted
	At  time.Time `json:"at"`  // when it was committed
}

// Bounds of what the ledger keeps of usage.
const (
	// maxDeltaAge is the age after which a delta is refused: whether it was
	// counted is remembered only for sourceTTL.
	maxDeltaAge = 24 * time.Hour
	sourceTTL   = 2 * maxDeltaAge
	// maxWindows is how many closed windows are kept; those that were not
	// reported are kept beyond it.
	maxWindows = 128
)

// Window is a usage window. Its figures never change once it is closed.
type Window struct {
	ID       uint64    `json:"id"`
	Start    time.Time `json:"start"`
	End      time.Time `json:"end"`
	Items    []Usage   `json:"items"`
	Reported bool      `json:"reported"`
}

// WindowClose fixes the figures of window ID: all deltas applied before it.
type WindowClose struct {
	ID    uint64    `json:"id"`
	Start time.Time `json:"start"`
	End   time.Time `json:"end"`
}

// WindowReported records that the receiver has the window.
type WindowReported struct {
	ID uint64 `json:"id"`
}

// usageKey orders and merges usage items.
type usageKey struct{ account, service string }

func (s *State) usageDelta(c *UsageDelta, at time.Time) Outcome {
	if c.Seq <= s.Ledger.Sources[c.Source].Seq {
		return Outcome{} // resent after a lost answer
	}
	if at.Sub(c.Created) > maxDeltaAge {
		return refuse(result.DeltaOld, "the usage delta is too old to tell whether it was counted")
	}
	s.Ledger.Sources[c.Source] = UsageSource{Seq: c.Seq, At: at}
	s.Ledger.Pending = merge(s.Ledger.Pending, c.Items)
	return Outcome{}
}

// merge adds items to sum, ordered by account and service.
func merge(sum, items []Usage) []Usage {
	at := map[usageKey]int{}
	out := append([]Usage(nil), sum...)
	for i, u := range out {
		at[usageKey{u.Account, u.Service}] = i
	}
	for _, u := range items {
		k := usageKey{u.Account, u.Service}
		i, ok := at[k]
		if !ok {
			at[k] = len(out)
			out = append(out, u)
			continue
		}
		out[i].Requests += u.Requests
		out[i].Tokens += u.Tokens
	}
	slices.SortFunc(out, func(a, b Usage) int {
		if c := strings.Compare(a.Account, b.Account); c != 0 {
			return c
		}
		return strings.Compare(a.Service, b.Service)
	})
	return out
}

func (s *State) windowClose(c *WindowClose, at time.Time) Outcome {
	if old, ok := s.Ledger.Windows[c.ID]; ok {
		return Outcome{Window: &old}
	}
	if c.ID != s.Ledger.LastWindow+1 {
		return refuse(result.VersionConflict, "windows close one after the other")
	}
	if !c.End.After(c.Start) || (c.ID > 1 && !c.Start.Equal(s.Ledger.LastEnd)) {
		return refuse(result.VersionConflict, "a window begins where the last one ended")
	}
	w := Window{ID: c.ID, Start: c.Start, End: c.End, Items: s.Ledger.Pending}
	s.Ledger.Pending = nil
	s.Ledger.LastWindow = c.ID
	s.Ledger.LastEnd = c.End
	s.Ledger.Windows[c.ID] = w
	s.Ledger.pruneUsage(at)
	return Outcome{Window: &w}
}

func (s *State) windowReported(c *WindowReported) Outcome {
	w, ok := s.Ledger.Windows[c.ID]
	if !ok {
		return refuse(result.NotFound, "no such window")
	}
	w.Reported = true
	s.Ledger.Windows[c.ID] = w
	return Outcome{Window: &w}
}

// pruneUsage forgets sources that are long silent and old reported windows. at
// is the command's time, so every replica forgets the same.
func (l *Ledger) pruneUsage(at time.Time) {
	for id, x := range l.Sources {
		if at.Sub(x.At) > sourceTTL {
			delete(l.Sources, id)
		}
	}
	for id, w := range l.Windows {
		if w.Reported && id+maxWindows <= l.LastWindow {
			delete(l.Windows, id)
		}
	}
}
