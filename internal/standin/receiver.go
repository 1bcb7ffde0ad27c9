package standin

import (
	"encoding/json"
	"net/http"
	"reflect"
	"sync"
	"time"

	"github.com/apricotstream/apricotstream/internal/usage"
)

// Receiver is a fake usage receiver. It accepts usage reports and records every violation
// of the guarantees for their fencing tokens, their order, their intervals and the content
// of resent reports.
type Receiver struct {
	// IgnoreFencing accepts reports with an old fencing token; they are still recorded as
	// violations.
	IgnoreFencing bool
	ResponseFaults

	mu           sync.Mutex
	fencingToken uint64
	reports      map[uint64]usage.Report // by number of the usage interval
	view         ReceiverView
}

// NewReceiver returns an empty receiver.
func NewReceiver() *Receiver {
	return &Receiver{reports: map[uint64]usage.Report{}}
}

// ReceiverView holds what the receiver has received.
type ReceiverView struct {
	Reports       []usage.Report `json:"windows"`
	Violations    []string       `json:"faults"`
	FencingTokens []uint64       `json:"fences"` // of every report, in order of arrival
	Delays        []float64      `json:"delays"` // seconds from the start of a usage interval to its first report
}

// Handler returns the receiver's routes.
func (rc *Receiver) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /usage", rc.wrap(rc.receiveReport))
	mux.HandleFunc("GET /usage", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, rc.View()) })
	return mux
}

// receiveReport handles a usage report.
func (rc *Receiver) receiveReport(w http.ResponseWriter, r *http.Request) {
	var report usage.Report
	if err := json.NewDecoder(r.Body).Decode(&report); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.view.FencingTokens = append(rc.view.FencingTokens, report.Fence)
	if report.Fence < rc.fencingToken {
		rc.addViolation("a report with an old fencing token arrived")
		if !rc.IgnoreFencing {
			http.Error(w, "a newer fencing token is in use", http.StatusConflict)
			return
		}
	}
	rc.fencingToken = max(rc.fencingToken, report.Fence)
	rc.recordReport(report)
	writeJSON(w, struct{}{})
}

func (rc *Receiver) addViolation(text string) { rc.view.Violations = append(rc.view.Violations, text) }

// recordReport stores a report and checks that its interval follows the previous one and
// that a resent report has the same content.
func (rc *Receiver) recordReport(report usage.Report) {
	old, ok := rc.reports[report.Window]
	if ok && !sameContent(old, report) {
		rc.addViolation("a window came twice with different figures")
	}
	before, known := rc.reports[report.Window-1]
	if known && !before.End.Equal(report.Start) {
		rc.addViolation("a usage interval does not start at the end of the previous one")
	}
	if !known && report.Window > 1 {
		rc.addViolation("a report arrived before that of the previous usage interval")
	}
	if !ok {
		rc.view.Delays = append(rc.view.Delays, time.Since(report.Start).Seconds())
	}
	rc.reports[report.Window] = report
}

// sameContent reports whether two reports have the same interval and the same items.
func sameContent(a, b usage.Report) bool {
	return a.Start.Equal(b.Start) && a.End.Equal(b.End) && reflect.DeepEqual(a.Items, b.Items)
}

// View returns what the receiver has received, with the reports in order of their
// intervals.
func (rc *Receiver) View() ReceiverView {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	v := rc.view
	for i := uint64(1); i <= uint64(len(rc.reports)); i++ {
		v.Reports = append(v.Reports, rc.reports[i])
	}
	return v
}
