package control

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"errors"
	"io"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/apricotstream/apricotstream/internal/consensus"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/storage"
)

// Bounds of snapshot transfers.
const (
	// snapshotPartBytes is small enough for heartbeats to be sent between two parts.
	snapshotPartBytes = 256 << 10
	// snapshotWindow is how many parts may be under way at the same time, so that the
	// sender encodes one while the receiver decodes another.
	snapshotWindow = 2
	// snapshotPartTimeout bounds the wait for the acknowledgement of a part. After it the
	// leader sends the whole snapshot again.
	snapshotPartTimeout = time.Second
	// maxSnapshotBytes is the largest snapshot that a replica accepts.
	maxSnapshotBytes = 256 << 20
)

// SnapshotPart is a part of the sender's snapshot file. It is sent as a notice, because a
// notice is encoded and decoded far fewer times than a call.
type SnapshotPart struct {
	Cluster  string            `json:"cluster"`
	Address  string            `json:"address"`  // peer address of the sender
	Transfer uint64            `json:"transfer"` // random; identifies the transfer at the sender
	Message  consensus.Message `json:"message"`  // of the consensus core; the receiver sets its Snapshot
	Size     int               `json:"size"`     // upper bound of the size of the snapshot file, in bytes
	Offset   int               `json:"offset"`
	Last     bool              `json:"last,omitempty"`
	Data     []byte            `json:"data"` // the last field; see decodeSnapshotPart
}

// decodeSnapshotPart decodes the JSON form of a part. The generic decoder, which reads the
// data three times, is only used for a part whose data isn't its last field.
func decodeSnapshotPart(raw []byte) (SnapshotPart, error) {
	var p SnapshotPart
	head, rest, hasData := bytes.Cut(raw, []byte(`,"data":"`))
	encoded, isEnd := bytes.CutSuffix(rest, []byte(`"}`))
	if !hasData || !isEnd {
		return p, json.Unmarshal(raw, &p)
	}
	if err := json.Unmarshal(append(bytes.Clone(head), '}'), &p); err != nil {
		return p, err
	}
	p.Data = make([]byte, base64.StdEncoding.DecodedLen(len(encoded)))
	n, err := base64.StdEncoding.Decode(p.Data, encoded)
	p.Data = p.Data[:n]
	return p, err
}

// SnapshotAck acknowledges a part. It is sent as a notice to the sender of the part.
type SnapshotAck struct {
	Transfer uint64        `json:"transfer"`
	Received int           `json:"received"`        // bytes of the snapshot so far
	Error    *result.Error `json:"error,omitempty"` // set if the snapshot was rejected
}

// sendSnapshot sends the newest snapshot in the background, in parts that it reads from
// the snapshot file. It does nothing while a snapshot is being sent to the same replica.
func (r *Replica) sendSnapshot(address string, m consensus.Message) {
	r.snapshotTransferMu.Lock()
	defer r.snapshotTransferMu.Unlock()
	if r.sendingSnapshotTo[m.To] {
		return
	}
	f, err := r.disk.OpenSnapshot()
	if err != nil {
		r.log.Error("Failed to open the snapshot file.", "err", err.Error())
		return
	}
	r.sendingSnapshotTo[m.To] = true
	r.node.SnapshotStarted(m.To)
	_, size := r.disk.Snapshot()
	go func() {
		began := time.Now()
		n, err := r.sendSnapshotParts(f, size, address, m)
		f.Close()
		r.log.Info("Snapshot transfer ended.", "to", m.To, "address", address, "index", m.Snapshot.Meta.Index, "bytes", n, "ms", time.Since(began).Milliseconds(), "err", err)
		r.snapshotTransferMu.Lock()
		delete(r.sendingSnapshotTo, m.To)
		r.snapshotTransferMu.Unlock()
		select {
		case r.tasks <- func() { r.node.SnapshotSent(r.now(), m.To, err == nil && m.Term == r.node.Status().Term) }:
		case <-r.done:
		}
	}()
}

// sendSnapshotParts sends the snapshot file f, whose data has dataBytes. It returns the number
// of bytes that the receiver has acknowledged.
func (r *Replica) sendSnapshotParts(f io.Reader, dataBytes int, address string, m consensus.Message) (int, error) {
	p := SnapshotPart{Cluster: r.cluster, Address: r.address, Transfer: rand.Uint64(), Message: m, Size: storage.MaxSnapshotFileBytes(dataBytes)}
	acks := make(chan SnapshotAck, snapshotWindow)
	r.addSnapshotTransfer(p.Transfer, acks)
	defer r.removeSnapshotTransfer(p.Transfer)
	acked := 0
	for underWay := 0; !p.Last || underWay > 0; {
		if !p.Last && underWay < snapshotWindow {
			data := make([]byte, snapshotPartBytes)
			n, err := io.ReadFull(f, data)
			switch {
			case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
				p.Last = true
			case err != nil:
				return acked, err
			}
			p.Data = data[:n]
			r.client.Notify(address, MethodSnapshot, p)
			p.Offset += n
			underWay++
			continue
		}
		select {
		case a := <-acks:
			if a.Error != nil {
				return acked, a.Error
			}
			acked = a.Received
			underWay--
		case <-time.After(snapshotPartTimeout):
			return acked, errSnapshotStalled
		case <-r.done:
			return acked, errSnapshotStalled
		}
	}
	return acked, nil
}

var errSnapshotStalled = errors.New("control: a part of the snapshot was not acknowledged in time")

func (r *Replica) addSnapshotTransfer(id uint64, acks chan SnapshotAck) {
	r.snapshotTransferMu.Lock()
	defer r.snapshotTransferMu.Unlock()
	r.snapshotTransfers[id] = acks
}

func (r *Replica) removeSnapshotTransfer(id uint64) {
	r.snapshotTransferMu.Lock()
	defer r.snapshotTransferMu.Unlock()
	delete(r.snapshotTransfers, id)
}

// receiveSnapshotAck passes an acknowledgement to the transfer that it belongs to.
func (r *Replica) receiveSnapshotAck(a SnapshotAck) {
	r.snapshotTransferMu.Lock()
	defer r.snapshotTransferMu.Unlock()
	select {
	case r.snapshotTransfers[a.Transfer] <- a:
	default: // the transfer has ended
	}
}

// receiveSnapshotPart collects the parts of a snapshot and acknowledges each. After the
// last part it passes the snapshot to the consensus core, in the background, because a
// handler of notices must not block.
func (r *Replica) receiveSnapshotPart(raw json.RawMessage) {
	p, err := decodeSnapshotPart(raw)
	if err != nil {
		r.log.Warn("Snapshot part was rejected.", "err", err.Error())
		return
	}
	ack := SnapshotAck{Transfer: p.Transfer, Received: p.Offset + len(p.Data)}
	err = r.checkSnapshotPart(p)
	var whole []byte
	if err == nil {
		whole, err = r.appendPart(p)
	}
	if err != nil {
		ack.Error = result.From(err)
		r.log.Warn("Snapshot part was rejected.", "from", p.Address, "offset", p.Offset, "err", ack.Error.Message)
	}
	r.client.Notify(p.Address, MethodSnapshotAck, ack)
	if whole != nil {
		go r.acceptSnapshot(p, whole)
	}
}

// checkSnapshotPart rejects a part of another cluster, and one for a replica that ran at
// this address before.
func (r *Replica) checkSnapshotPart(p SnapshotPart) error {
	if err := r.checkCluster(p.Cluster); err != nil {
		return err
	}
	if id := r.Status().ID; p.Message.To != id {
		return result.New(result.NotReplica, "the snapshot is for replica %s, not %s", p.Message.To, id)
	}
	return nil
}

// acceptSnapshot decodes a whole snapshot and passes it to the consensus core.
func (r *Replica) acceptSnapshot(p SnapshotPart, whole []byte) {
	s, err := storage.DecodeSnapshot("snapshot from "+p.Address, whole)
	if err != nil {
		r.log.Error("Snapshot was rejected.", "from", p.Address, "bytes", len(whole), "err", err.Error())
		return
	}
	m := p.Message
	m.Snapshot = &s
	r.Step(StepNotice{Cluster: p.Cluster, Address: p.Address, Message: m})
}

// receivedSnapshot holds the parts of a snapshot that were received so far.
type receivedSnapshot struct {
	transfer uint64
	term     uint64 // in which the sender leads
	data     []byte
}

// appendPart appends a part to those received from the same sender. The first one discards the parts
// from leaders of earlier terms, which may be gone. After the last part it returns the whole snapshot, else nil. It returns BodyMalformed and discards the parts
// if a part is missing, belongs to another transfer, or makes the snapshot too large.
func (r *Replica) appendPart(p SnapshotPart) ([]byte, error) {
	r.snapshotTransferMu.Lock()
	defer r.snapshotTransferMu.Unlock()
	from := p.Message.From
	if p.Offset == 0 {
		maps.DeleteFunc(r.receivedSnapshots, func(_ consensus.ID, x receivedSnapshot) bool { return x.term < p.Message.Term })
		r.receivedSnapshots[from] = receivedSnapshot{p.Transfer, p.Message.Term, make([]byte, 0, min(max(p.Size, 0), maxSnapshotBytes))}
	}
	received := r.receivedSnapshots[from]
	if received.transfer != p.Transfer {
		return nil, result.New(result.BodyMalformed, "the snapshot part at byte %d belongs to another transfer", p.Offset)
	}
	if len(received.data) != p.Offset || p.Offset+len(p.Data) > maxSnapshotBytes {
		delete(r.receivedSnapshots, from)
		return nil, result.New(result.BodyMalformed, "the snapshot part at byte %d does not continue the received parts or makes the snapshot too large", p.Offset)
	}
	received.data = append(received.data, p.Data...)
	if !p.Last {
		r.receivedSnapshots[from] = received
		return nil, nil
	}
	delete(r.receivedSnapshots, from)
	return received.data, nil
}
