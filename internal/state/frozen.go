package state

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"io"
	"maps"
	"slices"

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

// Encode returns the state encoded as a snapshot.
func (f Frozen) Encode() ([]byte, error) {
	var buf bytes.Buffer
	err := f.EncodeTo(&buf)
	return buf.Bytes(), err
}

// EncodeTo writes the state encoded as a snapshot. It encodes one batch job after the other: a
// buffer for all of them would need as much memory again as the state, on all replicas at
// the same moment.
func (f Frozen) EncodeTo(w io.Writer) error {
	out := cborWriter{w: w}
	fields := 2
	if len(f.batches) > 0 {
		fields++
	}
	out.mapHeader(fields) // in the order of encMode, see cborWriter
	out.field("config", f.config)
	out.field("ledger", f.ledger)
	if len(f.batches) == 0 {
		return out.err
	}
	out.value("batches")
	out.mapHeader(len(f.batches))
	ids := slices.SortedFunc(maps.Keys(f.batches), func(a, b string) int { return cmp.Or(cmp.Compare(len(a), len(b)), cmp.Compare(a, b)) })
	for _, id := range ids {
		out.buf.Reset()
		out.buf.Grow(f.batches[id].encodedSizeHint())
		out.field(id, f.batches[id])
	}
	return out.err
}

// cborWriter writes the parts of a CBOR map as encMode would write the whole: keys in the
// order of their encoded bytes, in which a shorter string comes first. It keeps the first error.
type cborWriter struct {
	w   io.Writer
	buf bytes.Buffer // for all values, one after the other
	err error
}

// majorTypeMap is the type of a map in the first byte of a CBOR value.
const majorTypeMap = 0xa0

// mapHeader writes the start of a map with n entries.
func (c *cborWriter) mapHeader(n int) {
	switch {
	case n < 24:
		c.write([]byte{majorTypeMap | byte(n)})
	case n < 1<<8:
		c.write([]byte{majorTypeMap | 24, byte(n)})
	case n < 1<<16:
		c.write(binary.BigEndian.AppendUint16([]byte{majorTypeMap | 25}, uint16(n)))
	default:
		c.write(binary.BigEndian.AppendUint32([]byte{majorTypeMap | 26}, uint32(n)))
	}
}

func (c *cborWriter) field(key string, value any) {
	c.value(key)
	c.value(value)
}

func (c *cborWriter) value(v any) {
	if c.err != nil {
		return
	}
	c.buf.Reset()
	if c.err = encMode.MarshalToBuffer(v, &c.buf); c.err == nil {
		c.write(c.buf.Bytes())
	}
}

func (c *cborWriter) write(b []byte) {
	if c.err == nil {
		_, c.err = c.w.Write(b)
	}
}
