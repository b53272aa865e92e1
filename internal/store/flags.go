package store

import (
	"bytes"
	"hash/crc32"
	"sync"
)

// flags record the state of a run without disk I/O, in a memory-mapped page. The page survives the process, but not a crash
// of the machine.
type flags struct {
	mu    sync.Mutex
	page  []byte
	unmap func() error
}

// Layout of the page, as offsets and sizes in bytes: a CRC-32C of the rest, one of the states below, the reasons for which
// the run is incomplete, and the ID of the boot. The checksum is written last; a page with a wrong checksum is ignored.
const (
	flagsSize        = 4096
	stateOffset      = 4
	incompleteOffset = 5
	bootOffset       = 8
	bootSize         = 64
)

// States of a run.
const (
	stateNone        = iota // never started, or another format
	stateWriteBehind        // running; responses are sent before their records are written
	stateWriteAhead         // running; no response is sent before its records are written, unless the run is incomplete
	stateEnded              // shut down cleanly
)

func openFlags(path string, files FileSystem) (*flags, error) {
	page, unmap, err := files.Map(path, flagsSize)
	if err != nil {
		return nil, err
	}
	return &flags{page: page, unmap: unmap}, nil
}

func (f *flags) set(change func(page []byte)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.page == nil {
		return
	}
	change(f.page)
	le.PutUint32(f.page, crc32.Checksum(f.page[stateOffset:bootOffset+bootSize], castagnoli))
}

func (f *flags) begin(boot string, writeAhead bool) {
	f.set(func(p []byte) {
		p[stateOffset], p[incompleteOffset] = stateWriteBehind, 0
		if writeAhead {
			p[stateOffset] = stateWriteAhead
		}
		clear(p[bootOffset : bootOffset+bootSize])
		copy(p[bootOffset:bootOffset+bootSize], boot)
	})
}

// Reasons for which a run is incomplete: the caller sent responses before their records were written, or the disk failed
// to take records. Each is cleared separately.
const (
	incompleteResponses = 1 << iota
	incompleteWrites
)

func (f *flags) setIncomplete(reason byte, on bool) {
	f.set(func(p []byte) {
		p[incompleteOffset] &^= reason
		if on {
			p[incompleteOffset] |= reason
		}
	})
}

func (f *flags) end() {
	f.set(func(p []byte) {
		if p[incompleteOffset] == 0 {
			p[stateOffset] = stateEnded
		}
	})
}

func (f *flags) close() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.page == nil {
		return nil
	}
	f.page = nil
	return f.unmap()
}

// lastRun evaluates the page of the last run: clean if it was shut down, complete if it lost nothing.
func lastRun(page []byte, boot string) (clean, complete bool) {
	if len(page) < flagsSize || le.Uint32(page) != crc32.Checksum(page[stateOffset:bootOffset+bootSize], castagnoli) {
		return false, false
	}
	pageBoot := string(bytes.TrimRight(page[bootOffset:bootOffset+bootSize], "\x00"))
	switch {
	case page[stateOffset] == stateEnded:
		return true, page[incompleteOffset] == 0
	case page[stateOffset] == stateWriteAhead:
		return false, page[incompleteOffset] == 0 && pageBoot == boot && boot != unknownBoot
	}
	return false, false
}
