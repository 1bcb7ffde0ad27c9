package storage

import (
	"bufio"
	"bytes"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"path/filepath"

	"github.com/apricotstream/apricotstream/internal/consensus"
	"github.com/apricotstream/apricotstream/internal/result"
)

// checksumBytes is the size of the CRC-32C that precedes the JSON text in a snapshot file.
const checksumBytes = 4

// Names of snapshot files.
const (
	snapshotPrefix = "snapshot-"
	snapshotSuffix = ".json"
)

func snapshotPath(dir string, index uint64) string {
	return filepath.Join(dir, fmt.Sprintf("%s%0*d%s", snapshotPrefix, indexDigits, index, snapshotSuffix))
}

// writeSnapshot writes s as JSON, preceded by its CRC-32C. The data is encoded while it is
// written, because encoding it first would need as much memory again as a large state.
// writeData writes the data; writeSnapshot returns its size in bytes.
func writeSnapshot(fs fileSystem, dir string, m consensus.SnapshotMeta, writeData func(io.Writer) error) (size int, err error) {
	meta, err := json.Marshal(m)
	if err != nil {
		return 0, err
	}
	err = replaceFile(fs, snapshotPath(dir, m.Index), func(f file) error {
		if _, err := f.Write(make([]byte, checksumBytes)); err != nil {
			return err
		}
		sum := crc32.New(castagnoliTable)
		w := bufio.NewWriterSize(io.MultiWriter(f, sum), 64<<10)
		if size, err = encodeSnapshot(w, meta, writeData); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
		if _, err := f.Seek(0, io.SeekStart); err != nil {
			return err
		}
		_, err := f.Write(binary.LittleEndian.AppendUint32(nil, sum.Sum32()))
		return err
	})
	return size, err
}

// maxSnapshotMetaBytes is above the size of the checksum, the metadata and the names in a
// snapshot file. A member of the control group takes about 150 bytes.
const maxSnapshotMetaBytes = 64 << 10

// MaxSnapshotFileBytes returns a close upper bound of the size of a snapshot file, given the
// size of its data.
func MaxSnapshotFileBytes(dataBytes int) int {
	return base64.StdEncoding.EncodedLen(dataBytes) + maxSnapshotMetaBytes
}

// The JSON form of a snapshot, around its metadata and its data.
const (
	snapshotMetaStart = `{"meta":`
	snapshotDataStart = `,"data":"`
	snapshotEnd       = `"}`
)

// decodeSnapshot decodes text, the JSON form of a snapshot. The generic decoder would read
// the data three times; it is only used for texts in another form than encodeSnapshot's.
func decodeSnapshot(text []byte, s *consensus.Snapshot) error {
	rest, isStart := bytes.CutPrefix(text, []byte(snapshotMetaStart))
	meta, rest, hasData := bytes.Cut(rest, []byte(snapshotDataStart))
	encoded, isEnd := bytes.CutSuffix(rest, []byte(snapshotEnd))
	if !isStart || !hasData || !isEnd {
		return json.Unmarshal(text, s)
	}
	if err := json.Unmarshal(meta, &s.Meta); err != nil {
		return err
	}
	s.Data = make([]byte, base64.StdEncoding.DecodedLen(len(encoded)))
	n, err := base64.StdEncoding.Decode(s.Data, encoded)
	s.Data = s.Data[:n]
	return err
}

// encodeSnapshot writes the JSON form of a consensus.Snapshot.
func encodeSnapshot(w *bufio.Writer, meta []byte, writeData func(io.Writer) error) (size int, err error) {
	for _, s := range []string{snapshotMetaStart, string(meta), snapshotDataStart} {
		if _, err := w.WriteString(s); err != nil {
			return 0, err
		}
	}
	e := base64.NewEncoder(base64.StdEncoding, w)
	counted := countingWriter{w: e}
	if err := writeData(&counted); err != nil {
		return 0, err
	}
	if err := e.Close(); err != nil {
		return 0, err
	}
	_, err = w.WriteString(snapshotEnd)
	return counted.n, err
}

// countingWriter counts the bytes that are written through it.
type countingWriter struct {
	w io.Writer
	n int
}

// Write implements io.Writer.
func (c *countingWriter) Write(b []byte) (int, error) {
	n, err := c.w.Write(b)
	c.n += n
	return n, err
}

func readSnapshot(fs fileSystem, path string) (consensus.Snapshot, error) {
	b, err := fs.readFile(path)
	if err != nil {
		return consensus.Snapshot{}, err
	}
	return DecodeSnapshot(path, b)
}

// DecodeSnapshot decodes the content b of a snapshot file. It returns DataCorrupt if the
// checksum or the JSON text is wrong. name identifies the file in errors.
func DecodeSnapshot(name string, b []byte) (consensus.Snapshot, error) {
	var s consensus.Snapshot
	if len(b) < checksumBytes || crc32.Checksum(b[checksumBytes:], castagnoliTable) != binary.LittleEndian.Uint32(b) {
		return s, result.New(result.DataCorrupt, "%s: checksum does not match", name)
	}
	if err := decodeSnapshot(b[checksumBytes:], &s); err != nil {
		return s, result.New(result.DataCorrupt, "%s: %v", name, err)
	}
	return s, nil
}
