package state

import (
	"slices"
	"strings"
	"time"

	"github.com/apricotstream/apricotstream/internal/result"
)

// Usage is the usage of one service by one client account.
type Usage struct {
	Account  string `json:"account"`
	Service  string `json:"service"`
	Requests int64  `json:"requests"`
	Tokens   int64  `json:"tokens"`
}

// UsageDelta is the usage that an entry daemon counted since its previous delta.
type UsageDelta struct {
	Source  string    `json:"source"` // incarnation of the entry daemon
	Seq     uint64    `json:"seq"`    // from 1, without gaps
	Items   []Usage   `json:"items"`
	Created time.Time `json:"formed"` // wall-clock time of the entry daemon when it created the delta
}

// UsageSource is the state of the deltas of one incarnation of an entry daemon.
type UsageSource struct {
	Seq uint64    `json:"seq"` // Seq of the newest delta counted
	At  time.Time `json:"at"`  // time of its commit
}

// Bounds of the usage data that the ledger retains.
const (
	// maxDeltaAge is the age above which a delta is rejected, because whether a delta was
	// counted is only known for usageSourceTTL.
	maxDeltaAge    = 24 * time.Hour
	usageSourceTTL = 2 * maxDeltaAge
	// maxWindows is the number of closed windows that are retained. Windows that were
	// not reported are retained beyond it.
	maxWindows = 128
)

// Window is a closed usage window. Its values never change.
type Window struct {
	ID       uint64    `json:"id"`
	Start    time.Time `json:"start"`
	End      time.Time `json:"end"`
	Items    []Usage   `json:"items"`
	Reported bool      `json:"reported"`
}

// WindowClose closes window ID. The window contains all deltas that were applied since the
// previous window was closed.
type WindowClose struct {
	ID    uint64    `json:"id"`
	Start time.Time `json:"start"`
	End   time.Time `json:"end"`
}

// WindowReported records that the receiver of usage reports has the window.
type WindowReported struct {
	ID uint64 `json:"id"`
}

// usageKey identifies a usage item when items are merged.
type usageKey struct{ account, service string }

// usageDelta adds a delta to the pending usage. wall is the wall-clock time of the leader,
// which is compared with that of the sender.
func (s *State) usageDelta(c *UsageDelta, wall, now time.Time) Outcome {
	if c.Seq <= s.Ledger.Sources[c.Source].Seq {
		return Outcome{} // resent because the reply was lost
	}
	if wall.Sub(c.Created) > maxDeltaAge {
		return reject(result.DeltaOld, "the usage delta is too old to tell whether it was counted")
	}
	s.Ledger.Sources[c.Source] = UsageSource{Seq: c.Seq, At: now}
	s.Ledger.Pending = merge(s.Ledger.Pending, c.Items)
	return Outcome{}
}

// merge returns the sum of both lists, ordered by account and service.
func merge(sum, items []Usage) []Usage {
	index := map[usageKey]int{}
	out := append([]Usage(nil), sum...)
	for i, u := range out {
		index[usageKey{u.Account, u.Service}] = i
	}
	for _, u := range items {
		k := usageKey{u.Account, u.Service}
		i, ok := index[k]
		if !ok {
			index[k] = len(out)
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
		return reject(result.VersionConflict, "windows close one after the other")
	}
	if !c.End.After(c.Start) || (c.ID > 1 && !c.Start.Equal(s.Ledger.LastEnd)) {
		return reject(result.VersionConflict, "a window begins where the last one ended")
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
		return reject(result.NotFound, "no such window")
	}
	w.Reported = true
	s.Ledger.Windows[c.ID] = w
	return Outcome{Window: &w}
}

// pruneUsage discards the sources that have sent no delta for usageSourceTTL, and old
// windows that were reported. at is the command's time, so that every replica discards the
// same ones.
func (l *Ledger) pruneUsage(at time.Time) {
	for id, x := range l.Sources {
		if at.Sub(x.At) > usageSourceTTL {
			delete(l.Sources, id)
		}
	}
	for id, w := range l.Windows {
		if w.Reported && id+maxWindows <= l.LastWindow {
			delete(l.Windows, id)
		}
	}
}
