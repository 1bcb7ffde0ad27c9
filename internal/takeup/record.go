package takeup

import (
	"time"

	"github.com/apricotstream/apricotstream/internal/origin"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

// Limits of records.
const (
	// maxRetention bounds the time for which a record is kept, which follows from the time limit of its
	// stream. The memory of records has a bound of its own.
	maxRetention = 24 * time.Hour
	// maxNameBytes bounds the names in a record that another daemon sends.
	maxNameBytes = upstream.MaxSoftwareBytes
)

// Record is what is kept of one stream.
type Record struct {
	Key         Key
	Account     uint64 // hash of the client account
	Origin      origin.Origin
	Upstream    string // id of the upstream that began the stream
	Incarnation int64  // of that upstream
	Until       time.Time
}

// SentRecord is a Record between two daemons, whose clocks differ.
type SentRecord struct {
	Key         []byte `json:"key"`
	Account     uint64 `json:"acc,omitempty"`
	Service     string `json:"svc"`
	Software    string `json:"sw,omitempty"`
	Upstream    string `json:"up"`
	Incarnation int64  `json:"inc"`
	LeftMs      int64  `json:"ms"` // time for which it is kept
}

func (r Record) toSend(now time.Time) SentRecord {
	return SentRecord{
		Key: r.Key[:], Account: r.Account, Service: r.Origin.Service, Software: r.Origin.Software, Upstream: r.Upstream, Incarnation: r.Incarnation,
		LeftMs: r.Until.Sub(now).Milliseconds(),
	}
}

// received returns the record, or false if it is not valid.
func (s SentRecord) received(now time.Time) (Record, bool) {
	left := time.Duration(s.LeftMs) * time.Millisecond
	if len(s.Key) != len(Key{}) || s.LeftMs <= 0 || s.Service == "" || max(len(s.Service), len(s.Software), len(s.Upstream)) > maxNameBytes {
		return Record{}, false
	}
	return Record{
		Key: Key(s.Key), Account: s.Account, Origin: origin.Origin{Service: s.Service, Software: s.Software}, Upstream: s.Upstream, Incarnation: s.Incarnation,
		Until: now.Add(min(left, maxRetention)),
	}, true
}

// ambiguous makes the software version of the stream unknown.
func (r *Record) ambiguous() { r.Origin.Software = upstream.SoftwareUnknown }
