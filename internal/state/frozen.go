package state

import (
	"bytes"
	"maps"

	"github.com/fxamacker/cbor/v2"
)

// Frozen is the state as of one moment. It may be encoded on any goroutine while
// the state goes on changing.
type Frozen struct {
	config  *Config         // never changed
	ledger  cbor.RawMessage // without the batch jobs
	batches map[string]*Batch
}

// Freeze returns the state as it is now. Batch jobs are nearly all of a large
// state; what is kept of them is only ever appended to or replaced, so that a
// shallow copy stays as it is. The rest is encoded at once.
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

// Encode returns a snapshot. A size near that of the result saves copies.
func (f Frozen) Encode(size int) ([]byte, error) {
	buf := bytes.NewBuffer(make([]byte, 0, size))
	err := encBuffer.MarshalToBuffer(frozenImage{Config: f.config, Ledger: f.ledger, Batches: f.batches}, buf)
	return buf.Bytes(), err
}

// frozenImage encodes as an image with the batch jobs beside the ledger.
type frozenImage struct {
	Config  *Config           `json:"config"`
	Ledger  cbor.RawMessage   `json:"ledger"`
	Batches map[string]*Batch `json:"batches,omitempty"`
}
