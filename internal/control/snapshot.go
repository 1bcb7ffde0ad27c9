package control

import (
	"context"
	"errors"
	"io"
	"os"
	"time"

	"github.com/apricotstream/apricotstream/internal/consensus"
	"github.com/apricotstream/apricotstream/internal/peer"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/storage"
)

// Sending of snapshots.
const (
	// snapshotPart is small enough for heartbeats to pass between two parts.
	snapshotPart = 256 << 10
	// partTimeout bounds one part; after a part that fails the leader sends the
	// whole snapshot again.
	partTimeout = time.Second
	// maxSnapshot bounds what a replica takes in, in bytes.
	maxSnapshot = 256 << 20
)

// SnapshotPart is a part of the leader's snapshot file.
type SnapshotPart struct {
	Cluster string            `json:"cluster"`
	Address string            `json:"address"` // of the sender
	Message consensus.Message `json:"message"` // what the last part completes
	Offset  int               `json:"offset"`
	Data    []byte            `json:"data"`
	Last    bool              `json:"last,omitempty"`
}

// SnapshotTaken acknowledges a part.
type SnapshotAck struct{}

// sendSnapshot sends the newest snapshot in the background, in parts read from
// its file; one at a time to each replica.
func (r *Replica) sendSnapshot(address string, m consensus.Message) {
	r.snapshotsMu.Lock()
	defer r.snapshotsMu.Unlock()
	if r.sending[address] {
		return
	}
	f, err := r.disk.OpenSnapshot()
	if err != nil {
		r.log.Error("Snapshot not opened.", "err", err.Error())
		return
	}
	r.sending[address] = true
	go func() {
		began := time.Now()
		n, err := r.sendParts(f, address, m)
		f.Close()
		r.log.Info("Snapshot sent.", "to", address, "index", m.Snapshot.Meta.Index, "bytes", n, "ms", time.Since(began).Milliseconds(), "err", err)
		r.snapshotsMu.Lock()
		defer r.snapshotsMu.Unlock()
		delete(r.sending, address)
	}()
}

func (r *Replica) sendParts(f *os.File, address string, m consensus.Message) (int, error) {
	p := SnapshotPart{Cluster: r.cluster, Address: r.address, Message: m}
	buf := make([]byte, snapshotPart)
	for !p.Last {
		n, err := io.ReadFull(f, buf)
		switch {
		case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
			p.Last = true
		case err != nil:
			return p.Offset, err
		}
		p.Data = buf[:n]
		ctx, cancel := context.WithTimeout(context.Background(), partTimeout)
		_, err = peer.Call[SnapshotAck](ctx, r.client, address, MethodSnapshot, p)
		cancel()
		if err != nil {
			return p.Offset, err
		}
		p.Offset += n
	}
	return p.Offset, nil
}

// takeSnapshot collects the parts of a snapshot and steps the core when it is
// whole.
func (r *Replica) takeSnapshot(_ context.Context, p SnapshotPart) (SnapshotAck, error) {
	if err := r.checkCluster(p.Cluster); err != nil {
		return SnapshotAck{}, err
	}
	whole, err := r.collect(p)
	if err != nil || whole == nil {
		return SnapshotAck{}, err
	}
	s, err := storage.DecodeSnapshot("snapshot from "+p.Address, whole)
	if err != nil {
		return SnapshotAck{}, err
	}
	m := p.Message
	m.Snapshot = &s
	r.Step(StepNotice{Cluster: p.Cluster, Address: p.Address, Message: m})
	return SnapshotAck{}, nil
}

// collect adds a part and returns the whole after the last one.
func (r *Replica) collect(p SnapshotPart) ([]byte, error) {
	r.snapshotsMu.Lock()
	defer r.snapshotsMu.Unlock()
	if p.Offset == 0 {
		r.parts[p.Message.From] = nil
	}
	got := r.parts[p.Message.From]
	if len(got) != p.Offset || p.Offset+len(p.Data) > maxSnapshot {
		delete(r.parts, p.Message.From)
		return nil, result.New(result.BodyMalformed, "a part of the snapshot is missing before byte %d", p.Offset)
	}
	got = append(got, p.Data...)
	if !p.Last {
		r.parts[p.Message.From] = got
		return nil, nil
	}
	delete(r.parts, p.Message.From)
	return got, nil
}
