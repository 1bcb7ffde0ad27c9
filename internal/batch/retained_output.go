package batch

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/apricotstream/apricotstream/internal/state"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

// MethodCollect is the peer method by which a new leader gets the output of the runs of earlier ones
// from a carrier. It ends these runs.
const MethodCollect = "batch.collect" // call: CollectRequest -> CollectReply

// CollectRequest asks a carrier for the output that it retains.
type CollectRequest struct {
	Term     uint64   `json:"term"`
	Leader   string   `json:"leader"` // peer address
	Jobs     []string `json:"jobs"`   // open batch jobs; output of others is not wanted
	MaxBytes int      `json:"max_bytes"`
}

// CollectReply answers a CollectRequest.
type CollectReply struct {
	Outputs []RetainedOutput `json:"outputs,omitempty"`
}

// RetainedOutput is the output of one run.
type RetainedOutput struct {
	Job      string       `json:"job"`
	Account  string       `json:"account,omitempty"`
	Item     string       `json:"item"`
	Request  string       `json:"request"` // see requestDigest
	Upstream OutputSource `json:"upstream"`
	After    int          `json:"after,omitempty"` // id of the last event before the run; 0 if it began the text
	Text     string       `json:"text,omitempty"`  // see textDigest, of the events before the run
	Events   []Event      `json:"events,omitempty"`
	Complete bool         `json:"complete,omitempty"` // the generation is complete
}

// OutputSource is the upstream that generated an output, as it was announced when the run began.
type OutputSource struct {
	ID          string `json:"id"`
	Incarnation int64  `json:"incarnation,omitempty"`
	Service     string `json:"service"`
	Software    string `json:"software,omitempty"`
}

func (s OutputSource) announcement() upstream.Announcement {
	return upstream.Announcement{ID: s.ID, Incarnation: s.Incarnation, Service: s.Service, Software: s.Software}
}

// outputOf returns the output of a run that has no events yet.
func outputOf(q RunRequest) RetainedOutput {
	u := q.Upstream
	return RetainedOutput{
		Job: q.Job, Account: q.Account, Item: q.ID, Request: requestDigest(q.Path, q.Header, q.Body), After: q.LastEventID, Text: q.Text,
		Upstream: OutputSource{ID: u.ID, Incarnation: u.Incarnation, Service: u.Service, Software: u.Software},
	}
}

// nameBytes returns the length of the strings of an output without its events.
func (o *RetainedOutput) nameBytes() int {
	return len(o.Job) + len(o.Account) + len(o.Item) + len(o.Request) + len(o.Text) + len(o.Upstream.ID) + len(o.Upstream.Service) + len(o.Upstream.Software)
}

// contiguous reports whether the events of an output follow each other.
func (o *RetainedOutput) contiguous() bool {
	for i, e := range o.Events {
		if e.ID != o.After+1+i {
			return false
		}
	}
	return o.After >= 0
}

// requestDigest identifies the request of an item. Item ids may come again with another request.
// Daemons of other builds compute it, so it must not change.
func requestDigest(path string, header []state.Field, body []byte) string {
	d := xxhash.New()
	write := func(s string) { fmt.Fprintf(d, "%d %s", len(s), s) }
	write(path)
	for _, f := range header {
		write(f.Name)
		write(f.Value)
	}
	fmt.Fprintf(d, "%d ", len(body))
	_, _ = d.Write(body)
	return fmt.Sprintf("%016x", d.Sum64())
}

// textDigest identifies the text of events with the given data; empty for no text. An item that began
// anew has another text with the same event ids. Daemons of other builds compute it, so it must not
// change.
func textDigest(events []string) string {
	if len(events) == 0 {
		return ""
	}
	d := xxhash.New()
	for _, data := range events {
		fmt.Fprintf(d, "%d %s", len(data), data)
	}
	return fmt.Sprintf("%016x", d.Sum64())
}
