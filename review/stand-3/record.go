//go:build review

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the record of a case: one line an event, with the milliseconds since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, start: time.Now()}, nil
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%7d  %s\n", time.Since(r.start).Milliseconds(), fmt.Sprintf(format, args...))
	_, _ = r.file.WriteString(line)
	fmt.Print(line)
}

// at returns a time as the record shows it.
func (r *record) at(t time.Time) int64 { return t.Sub(r.start).Milliseconds() }

func (r *record) close() { _ = r.file.Close() }
