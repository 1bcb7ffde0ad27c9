package peer

import (
	"errors"
	"io"
)

const (
	// smallFrameBytes is the largest buffer that a connection keeps. A replica of a large deployment
	// has hundreds of connections, most of which carry a large frame now and then.
	smallFrameBytes = 16 << 10
	minBufferBytes  = 1 << 10
	// maxReusedBytes is the largest buffer that is used for further large frames.
	maxReusedBytes = 1 << 20
	// growthFactor is the growth of the buffer of a large frame, whose bytes are copied. It has its
	// whole size as soon as a quarter of the frame has arrived, so that the largest frame never needs
	// two buffers of its size.
	growthFactor = 4
)

// errNoRoom says that there is no memory for a frame. Its connection has been closed.
var errNoRoom = errors.New("the memory for frames is in use")

// frameBuffer holds the contents of one frame. The memory of a buffer of more than smallFrameBytes is
// held until the buffer is dropped.
type frameBuffer struct {
	buf  []byte
	held int64
}

// largestHold returns the most memory that is held for a frame.
func largestHold(length int64) int64 {
	if length <= smallFrameBytes {
		return 0
	}
	return length + partOf(length)
}

// partOf returns the size of the buffer before one of the given size.
func partOf(size int64) int64 { return (size + growthFactor - 1) / growthFactor }

// drop drops a buffer of more than most bytes.
func (b *frameBuffer) drop(most int64, resize func(int64) bool) {
	if b.held > most {
		*b = frameBuffer{}
		resize(0)
	}
}

// read reads the contents of a frame, which are valid until the next call. resize makes the memory
// that is held for the buffer n bytes, or returns false.
func (b *frameBuffer) read(r io.Reader, length int64, resize func(n int64) bool) ([]byte, error) {
	if length <= smallFrameBytes || b.held < length {
		b.drop(0, resize)
	}
	if small := min(length, smallFrameBytes); int64(len(b.buf)) < small {
		b.buf = make([]byte, min(max(small, 2*int64(len(b.buf)), minBufferBytes), smallFrameBytes))
	}
	for n := int64(0); ; {
		end := min(length, int64(len(b.buf)))
		if _, err := io.ReadFull(r, b.buf[n:end]); err != nil {
			return nil, unexpectedEOF(err)
		}
		if n = end; n == length {
			return b.buf[:length], nil
		}
		if err := b.grow(n, length, resize); err != nil {
			return nil, err
		}
	}
}

// grow makes the buffer of a large frame larger. Both buffers are held while the bytes are copied.
func (b *frameBuffer) grow(used, length int64, resize func(n int64) bool) error {
	size := length
	for partOf(size) > int64(len(b.buf)) {
		size = partOf(size)
	}
	if !resize(b.held + size) {
		return errNoRoom
	}
	larger := make([]byte, size)
	copy(larger, b.buf[:used])
	b.buf, b.held = larger, size
	resize(size)
	return nil
}

// unexpectedEOF returns io.ErrUnexpectedEOF for the end of a connection within a frame.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
