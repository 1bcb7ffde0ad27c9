package membudget

import (
	"errors"
	"io"
)

// Errors of ReadAll.
var (
	ErrFull     = errors.New("the memory for buffered bodies is in use")
	ErrTooLarge = errors.New("the body is larger than allowed")
)

// firstReadBytes is the first buffer for a body of unknown size.
const firstReadBytes = 8 << 10

// ReadAll reads r to its end into a buffer of h. size is the number of bytes if it is known, else
// below 0, and limit the largest one allowed. With an error it returns the bytes that were read.
// Errors: ErrTooLarge, ErrFull, and those of r.
func ReadAll(r io.Reader, size, limit int64, h *Hold) ([]byte, error) {
	if size > limit {
		return nil, ErrTooLarge
	}
	capacity := size
	if size < 0 {
		capacity = min(firstReadBytes, limit)
	}
	if !h.Resize(capacity) {
		return nil, ErrFull
	}
	buf := make([]byte, 0, capacity)
	for {
		if len(buf) == cap(buf) {
			switch {
			case size >= 0:
				return buf, nil
			case int64(len(buf)) == limit:
				return buf, endsHere(r)
			}
			var err error
			if buf, err = grow(buf, limit, h); err != nil {
				return buf, err
			}
		}
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if err == io.EOF {
			return buf, nil
		}
		if err != nil {
			return buf, err
		}
	}
}

// endsHere returns an error unless r has no more bytes.
func endsHere(r io.Reader) error {
	var next [1]byte
	_, err := io.ReadFull(r, next[:])
	switch err {
	case io.EOF:
		return nil
	case nil:
		return ErrTooLarge
	}
	return err
}

// grow returns a buffer of twice the size. Both are held while the bytes are copied.
func grow(buf []byte, limit int64, h *Hold) ([]byte, error) {
	before := int64(cap(buf))
	after := min(2*max(before, firstReadBytes), limit)
	if !h.Resize(before + after) {
		return buf, ErrFull
	}
	larger := append(make([]byte, 0, after), buf...)
	h.Resize(after)
	return larger, nil
}
