package storage

import (
	"errors"
	"io"
	"math/rand/v2"
	"slices"
)

// diskBlockBytes is the unit in which a disk stores or loses a part of a write.
const diskBlockBytes = 512

// minTornBytes is the smallest part of a write that is lost without regard to blocks.
const minTornBytes = 8

// simulatedFile is a file of a simulatedDisk.
type simulatedFile struct {
	content  []byte // as processes see it
	durable  []byte // at the last sync
	unsynced []simulatedWrite
}

func (f *simulatedFile) write(w simulatedWrite) {
	f.content = w.apply(f.content)
	f.unsynced = append(f.unsynced, w)
}

// simulatedWrite is a write at an offset, or a truncation to it.
type simulatedWrite struct {
	offset   int
	data     []byte
	truncate bool
}

func (w simulatedWrite) apply(b []byte) []byte {
	if w.truncate {
		return append(slices.Clone(b), make([]byte, max(0, w.offset-len(b)))...)[:w.offset]
	}
	out := append(slices.Clone(b), make([]byte, max(0, w.offset+len(w.data)-len(b)))...)
	copy(out[w.offset:], w.data)
	return out
}

// tear returns b after a write of which some parts are missing. They keep their content,
// or are zero where the file grew; if the end is missing the file may be shorter.
func (w simulatedWrite) tear(b []byte, rnd *rand.Rand) []byte {
	if w.truncate {
		return b
	}
	type span struct{ from, to int } // bytes of the write
	var missing []span
	if rnd.IntN(2) == 0 && len(w.data) > minTornBytes {
		from := rnd.IntN(len(w.data) - minTornBytes)
		to := from + minTornBytes + rnd.IntN(len(w.data)-from-minTornBytes+1)
		switch rnd.IntN(3) {
		case 0:
			from = 0
		case 1:
			to = len(w.data)
		}
		missing = append(missing, span{from, to})
	} else {
		for from := 0; from < len(w.data); {
			to := min(len(w.data), from+diskBlockBytes-(w.offset+from)%diskBlockBytes)
			if rnd.IntN(2) == 0 {
				missing = append(missing, span{from, to})
			}
			from = to
		}
	}
	out := w.apply(b)
	before := append(slices.Clone(b), make([]byte, len(out)-len(b))...)
	for _, s := range missing {
		copy(out[w.offset+s.from:w.offset+s.to], before[w.offset+s.from:])
	}
	if k := len(missing); k > 0 && missing[k-1].to == len(w.data) && rnd.IntN(2) == 0 {
		out = out[:max(len(b), w.offset+missing[k-1].from)]
	}
	return out
}

// simulatedHandle is an open simulatedFile.
type simulatedHandle struct {
	disk   *simulatedDisk
	file   *simulatedFile
	run    int
	atEnd  bool // writes go to the end of the file
	offset int
}

func (h *simulatedHandle) step(o diskOp) error {
	if h.run != h.disk.run {
		return errKilled
	}
	return h.disk.step(o)
}

// Write stores a part of p if the call kills the process, or if the disk is full and the
// file would grow.
func (h *simulatedHandle) Write(p []byte) (int, error) {
	if h.disk.killed || h.run != h.disk.run {
		return 0, errKilled
	}
	err := h.step(opWrite)
	if h.atEnd {
		h.offset = len(h.file.content)
	}
	if err == nil && h.disk.full && h.offset+len(p) > len(h.file.content) {
		err = errDiskFull
	}
	n := len(p)
	if err != nil {
		n = h.disk.rnd.IntN(len(p) + 1)
	}
	if n > 0 {
		h.file.write(simulatedWrite{offset: h.offset, data: slices.Clone(p[:n])})
	}
	h.offset += n
	return n, err
}

func (h *simulatedHandle) Truncate(size int64) error {
	if err := h.step(opTruncate); err != nil {
		return err
	}
	h.file.write(simulatedWrite{offset: int(size), truncate: true})
	return nil
}

// Sync stores the unsynced writes and the length of the file. A sync that fails stores
// nothing, and the next one does not try the same writes again, although processes still
// read them: so do the page caches of common systems.
func (h *simulatedHandle) Sync() error {
	if err := h.step(opSync); err != nil {
		return err
	}
	if h.disk.failSync {
		h.file.unsynced = nil
		return errSyncFailed
	}
	for _, w := range h.file.unsynced {
		h.file.durable = w.apply(h.file.durable)
	}
	h.file.durable = simulatedWrite{offset: len(h.file.content), truncate: true}.apply(h.file.durable)
	h.file.unsynced = nil
	h.disk.syncCreated(h.file)
	return nil
}

func (h *simulatedHandle) Seek(offset int64, whence int) (int64, error) {
	if whence != io.SeekStart {
		return 0, errors.ErrUnsupported
	}
	h.offset = int(offset)
	return offset, nil
}

func (h *simulatedHandle) Close() error { return nil }
