package state

import (
	"bytes"
	"maps"

	"github.com/fxamacker/cbor/v2"
)

// Frozen is an immutable copy of a state. Any goroutine may encode it while commands are
// applied to the state.
type Frozen struct {
	config  *Config         // immutable
	ledger  cbor.RawMessage // encoded, without the batch jobs
	batches map[string]*Batch
}

// Freeze returns an immutable copy of the state. Batch jobs are nearly all of a large
// state. Freeze only makes a shallow copy of them. The copy does not change, because the
// contents of a batch job are only appended to or replaced. The rest is encoded immediately.
func (s *State) Freeze() (Frozen, error) {
	im := s.Ledger.image()
	im.Batches = nil
	ledger, err := encMode.Marshal(im)
	if err != nil {
		return Frozen{}, err
	}
	f := Frozen{config: s.Config, ledger: ledger, batches: make(map[string]*Batch, len(s.Ledger.Batches))}
	for id, b := range s.Ledger.Batches {
		c := *b
		c.Partial = maps.Clone(b.Partial)
		f.batches[id] = &c
	}
	return f, nil
}

// Encode returns the state encoded as a snapshot. size is the expected size in bytes; a
// good estimate avoids copying.
func (f Frozen) Encode(size int) ([]byte, error) {
	buf := bytes.NewBuffer(make([]byte, 0, size))
	err := encBuffer.MarshalToBuffer(frozenImage{Config: f.config, Ledger: f.ledger, Batches: f.batches}, buf)
	return buf.Bytes(), err
}

// frozenImage has the same encoding as image, with the batch jobs outside the ledger.
type frozenImage struct {
	Config  *Config           `json:"config"`
	Ledger  cbor.RawMessage   `json:"ledger"`
	Batches map[string]*Batch `json:"batches,omitempty"`
}
