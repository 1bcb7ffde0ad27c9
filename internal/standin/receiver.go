package standin

import (
	"encoding/json"
	"net/http"
	"reflect"
	"sync"
	"time"

	"github.com/apricotstream/apricotstream/internal/usage"
)

// Receiver accepts usage windows and records every violated guarantee.
type Receiver struct {
	// IgnoreFencing takes reports with an old fencing number; they are noted.
	IgnoreFencing bool
	ResponseFaults

	mu      sync.Mutex
	fence   uint64
	windows map[uint64]usage.Report
	view    ReceiverView
}

// NewReceiver returns an empty receiver.
func NewReceiver() *Receiver {
	return &Receiver{windows: map[uint64]usage.Report{}}
}

// ReceiverView is what the receiver has seen.
type ReceiverView struct {
	Reports       []usage.Report `json:"windows"`
	Violations    []string       `json:"faults"`
	FencingTokens []uint64       `json:"fences"` // of every report, as they came
	Delays        []float64      `json:"delays"` // seconds from a window's begin to its first report
}

// Handler returns the receiver's routes.
func (x *Receiver) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /usage", x.around(x.take))
	mux.HandleFunc("GET /usage", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, x.View()) })
	return mux
}

func (x *Receiver) take(w http.ResponseWriter, r *http.Request) {
	var m usage.Report
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.view.FencingTokens = append(x.view.FencingTokens, m.Fence)
	if m.Fence < x.fence {
		x.fault("a report with an old fencing number came")
		if !x.IgnoreFencing {
			http.Error(w, "a newer fencing number is in use", http.StatusConflict)
			return
		}
	}
	x.fence = max(x.fence, m.Fence)
	x.record(m)
	writeJSON(w, struct{}{})
}

func (x *Receiver) fault(text string) { x.view.Violations = append(x.view.Violations, text) }

func (x *Receiver) record(m usage.Report) {
	old, ok := x.windows[m.Window]
	if ok && !sameFigures(old, m) {
		x.fault("a window came twice with different figures")
	}
	before, known := x.windows[m.Window-1]
	if known && !before.End.Equal(m.Start) {
		x.fault("a window does not begin where the last one ended")
	}
	if !known && m.Window > 1 {
		x.fault("a window came before the one it follows")
	}
	if !ok {
		x.view.Delays = append(x.view.Delays, time.Since(m.Start).Seconds())
	}
	x.windows[m.Window] = m
}

func sameFigures(a, b usage.Report) bool {
	return a.Start.Equal(b.Start) && a.End.Equal(b.End) && reflect.DeepEqual(a.Items, b.Items)
}

// View returns a copy of what the receiver has seen.
func (x *Receiver) View() ReceiverView {
	x.mu.Lock()
	defer x.mu.Unlock()
	v := x.view
	for i := uint64(1); i <= uint64(len(x.windows)); i++ {
		v.Reports = append(v.Reports, x.windows[i])
	}
	return v
}
