package batch

import (
	"time"

	"github.com/apricotstream/apricotstream/internal/homes"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/state"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

// Peer methods between the leader, which decides where items run, and the carriers, which
// hold the connections to the engines and read their events.
const (
	MethodGreet    = "batch.greet"    // call: struct{} -> CarrierClock
	MethodRun      = "batch.run"      // call: RunRequest -> RunReply, which arrives when the run has ended
	MethodHold     = "batch.hold"     // notice to a carrier: Hold
	MethodProgress = "batch.progress" // notice to the leader: Progress
	MethodScore    = "batch.score"    // call: ScoreRequest -> ScoreReply
)

// CarrierClock is a reading of the boot clock of a carrier.
type CarrierClock struct {
	Incarnation int64         `json:"incarnation"` // identifies the process
	Now         time.Duration `json:"now"`         // nanoseconds
}

// Permit allows a carrier to run items for the leader of a term, up to a time on the
// carrier's own clock. A carrier that was frozen, or that reads the permit late, finds that
// it has run out.
type Permit struct {
	Term        uint64        `json:"term"`
	Leader      string        `json:"leader"`      // peer address
	Incarnation int64         `json:"incarnation"` // of the carrier's process
	Until       time.Duration `json:"until"`       // nanoseconds on the carrier's boot clock
}

// RunRequest asks a carrier to run one attempt of an item.
type RunRequest struct {
	Permit
	Run           string                `json:"run"` // unique for the leader's process
	Upstream      upstream.Announcement `json:"upstream"`
	ID            string                `json:"id"`             // of the item
	Job           string                `json:"job,omitempty"`  // its batch job; empty from older builds, then the output is not retained
	Text          string                `json:"text,omitempty"` // see textDigest, of the events up to LastEventID
	Host          string                `json:"host"`
	Path          string                `json:"path"`
	Account       string                `json:"account"`
	Header        []state.Field         `json:"header,omitempty"`
	Body          []byte                `json:"body,omitempty"`
	Homes         *homes.Homes          `json:"homes,omitempty"`
	LastEventID   int                   `json:"last,omitempty"`
	Priority      int                   `json:"priority"`
	Left          time.Duration         `json:"left"`       // nanoseconds until the deadline
	MaxEventBytes int                   `json:"max_event"`  // size above which an event is cut
	MaxEvents     int                   `json:"max_events"` // bounds of the output of this attempt
	MaxBytes      int                   `json:"max_bytes"`
	// StartUntil is when the request must have been sent, in nanoseconds on the carrier's boot
	// clock; 0: at any time.
	StartUntil time.Duration `json:"start_until,omitempty"`
}

// RunReply ends a run. It contains the events that the carrier does not know to have
// arrived.
type RunReply struct {
	From    int         `json:"from"` // number of events before these
	Events  []Event     `json:"events,omitempty"`
	Code    result.Code `json:"code,omitempty"` // result.OK: the generation is complete
	Message string      `json:"message,omitempty"`
}

// Hold lists all runs that the leader still wants from a carrier, and renews their permit.
// The carrier ends its other runs of that term.
type Hold struct {
	Permit
	Runs []HeldRun `json:"runs,omitempty"`
}

// HeldRun is one run in a Hold.
type HeldRun struct {
	Run  string `json:"run"`
	Have int    `json:"have,omitempty"` // events that have arrived at the leader
}

// Progress tells the leader which runs a carrier has in flight.
type Progress struct {
	Carrier string        `json:"carrier"` // peer address
	Clock   CarrierClock  `json:"clock"`
	Runs    []RunProgress `json:"runs,omitempty"`
}

// RunProgress is the progress of one run.
type RunProgress struct {
	Run    string  `json:"run"`
	Count  int     `json:"n"`              // events so far
	From   int     `json:"from,omitempty"` // number of events before Events
	Events []Event `json:"events,omitempty"`
}

// ScoreRequest asks a carrier to send a reward request.
type ScoreRequest struct {
	Reward *state.Reward `json:"reward"`
	Left   time.Duration `json:"left"` // nanoseconds until the deadline
	Homes  *homes.Homes  `json:"homes,omitempty"`
	// StartUntil is when the last attempt must have begun, in nanoseconds on the carrier's boot
	// clock; 0 from older builds.
	StartUntil time.Duration `json:"start_until,omitempty"`
}

// ScoreReply is the answer to a reward request.
type ScoreReply struct {
	Score string `json:"score"`
}
