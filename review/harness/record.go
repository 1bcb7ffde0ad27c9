package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the protocol of a run: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, began: time.Now()}, err
}

func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}
