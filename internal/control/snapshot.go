package control

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/apricotstream/apricotstream/internal/consensus"
	"github.com/apricotstream/apricotstream/internal/peer"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/storage"
)

// Bounds of snapshot transfers.
const (
	// snapshotPartBytes is small enough for heartbeats to be sent between two parts.
	snapshotPartBytes = 256 << 10
	// snapshotPartTimeout bounds the transfer of one part. After a failed part the
	// leader sends the whole snapshot again.
	snapshotPartTimeout = time.Second
	// maxSnapshotBytes is the largest snapshot that a replica accepts.
	maxSnapshotBytes = 256 << 20
)

// SnapshotPart is a part of the sender's snapshot file.
type SnapshotPart struct {
	Cluster string            `json:"cluster"`
	Address string            `json:"address"` // peer address of the sender
	Message consensus.Message `json:"message"` // of the consensus core; the receiver sets its Snapshot
	Offset  int               `json:"offset"`
	Data    []byte            `json:"data"`
	Last    bool              `json:"last,omitempty"`
}

// SnapshotAck acknowledges a part.
type SnapshotAck struct{}

// sendSnapshot sends the newest snapshot in the background, in parts that it reads from
// the snapshot file. It does nothing while a snapshot is being sent to the same address.
func (r *Replica) sendSnapshot(address string, m consensus.Message) {
	r.snapshotTransferMu.Lock()
	defer r.snapshotTransferMu.Unlock()
	if r.sendingSnapshotTo[address] {
		return
	}
	f, err := r.disk.OpenSnapshot()
	if err != nil {
		r.log.Error("Failed to open the snapshot file.", "err", err.Error())
		return
	}
	r.sendingSnapshotTo[address] = true
	go func() {
		began := time.Now()
		n, err := r.sendSnapshotParts(f, address, m)
		f.Close()
		r.log.Info("Snapshot transfer ended.", "to", address, "index", m.Snapshot.Meta.Index, "bytes", n, "ms", time.Since(began).Milliseconds(), "err", err)
		r.snapshotTransferMu.Lock()
		defer r.snapshotTransferMu.Unlock()
		delete(r.sendingSnapshotTo, address)
	}()
}

func (r *Replica) sendSnapshotParts(f io.Reader, address string, m consensus.Message) (int, error) {
	p := SnapshotPart{Cluster: r.cluster, Address: r.address, Message: m}
	buf := make([]byte, snapshotPartBytes)
	for !p.Last {
		n, err := io.ReadFull(f, buf)
		switch {
		case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
			p.Last = true
		case err != nil:
			return p.Offset, err
		}
		p.Data = buf[:n]
		ctx, cancel := context.WithTimeout(context.Background(), snapshotPartTimeout)
		_, err = peer.Call[SnapshotAck](ctx, r.client, address, MethodSnapshot, p)
		cancel()
		if err != nil {
			return p.Offset, err
		}
		p.Offset += n
	}
	return p.Offset, nil
}

// receiveSnapshotPart collects the parts of a snapshot. After the last part it passes the
// snapshot to the consensus core.
func (r *Replica) receiveSnapshotPart(_ context.Context, p SnapshotPart) (SnapshotAck, error) {
	if err := r.checkCluster(p.Cluster); err != nil {
		return SnapshotAck{}, err
	}
	whole, err := r.appendPart(p)
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

// appendPart appends a part to those received from the same sender. After the last part
// it returns the whole snapshot, else nil. It returns BodyMalformed and discards the parts
// if a part is missing or the snapshot is too large.
func (r *Replica) appendPart(p SnapshotPart) ([]byte, error) {
	r.snapshotTransferMu.Lock()
	defer r.snapshotTransferMu.Unlock()
	if p.Offset == 0 {
		r.receivedParts[p.Message.From] = nil
	}
	received := r.receivedParts[p.Message.From]
	if len(received) != p.Offset || p.Offset+len(p.Data) > maxSnapshotBytes {
		delete(r.receivedParts, p.Message.From)
		return nil, result.New(result.BodyMalformed, "the snapshot part at byte %d does not continue the received parts or makes the snapshot too large", p.Offset)
	}
	received = append(received, p.Data...)
	if !p.Last {
		r.receivedParts[p.Message.From] = received
		return nil, nil
	}
	delete(r.receivedParts, p.Message.From)
	return received, nil
}
