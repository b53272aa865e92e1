package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that says what was sent, answered and run.
type record struct {
	mu        sync.Mutex
	out       *os.File
	startedAt time.Time
}

// logf writes a line with the time since the start of the case.
func (r *record) logf(format string, a ...any) { r.logAt(time.Now(), format, a...) }

func (r *record) logAt(at time.Time, format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.1f ms  %s\n", float64(at.Sub(r.startedAt).Microseconds())/1000, fmt.Sprintf(format, a...))
}

// since returns the time of the record at a moment.
func (r *record) since(at time.Time) time.Duration { return at.Sub(r.startedAt) }
