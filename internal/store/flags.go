package store

import (
	"bytes"
	"hash/crc32"
	"sync"
)

// flags are what is known of a run without asking the disk: a page that is mapped, and so outlives the process, though
// not the machine.
type flags struct {
	mu    sync.Mutex
	page  []byte
	unmap func() error
}

// The page: a checksum of the rest, which of the states below, whether it is behind, and the boot that it is of. The
// checksum is written last; a page that it does not fit says nothing.
const (
	flagsSize  = 4096
	flagsState = 4
	flagBehind = 5
	flagBoot   = 8
	bootSize   = 64
)

const (
	stateNone  = iota // never begun, or of another form
	stateOpen         // runs, and answers before it has written
	stateKeeps        // runs, and answers nothing that is not written, unless it is behind
	stateEnded        // ended in order
)

func openFlags(path string, files Files) (*flags, error) {
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
	le.PutUint32(f.page, crc32.Checksum(f.page[flagsState:flagBoot+bootSize], castagnoli))
}

func (f *flags) begin(boot string, keeps bool) {
	f.set(func(p []byte) {
		p[flagsState], p[flagBehind] = stateOpen, 0
		if keeps {
			p[flagsState] = stateKeeps
		}
		clear(p[flagBoot : flagBoot+bootSize])
		copy(p[flagBoot:flagBoot+bootSize], boot)
	})
}

// Why a run is behind: who answers said so, or the disk did not take something. Each is taken back by itself.
const (
	behindAnswers = 1 << iota
	behindDisk
)

func (f *flags) setBehind(why byte, on bool) {
	f.set(func(p []byte) {
		p[flagBehind] &^= why
		if on {
			p[flagBehind] |= why
		}
	})
}

func (f *flags) end() {
	f.set(func(p []byte) {
		if p[flagBehind] == 0 {
			p[flagsState] = stateEnded
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

// judge tells of a page whether the run that wrote it left nothing out.
func judge(page []byte, boot string) (clean, complete bool) {
	if len(page) < flagsSize || le.Uint32(page) != crc32.Checksum(page[flagsState:flagBoot+bootSize], castagnoli) {
		return false, false
	}
	of := string(bytes.TrimRight(page[flagBoot:flagBoot+bootSize], "\x00"))
	switch {
	case page[flagsState] == stateEnded:
		return true, page[flagBehind] == 0
	case page[flagsState] == stateKeeps:
		return false, page[flagBehind] == 0 && of == boot && boot != "unknown"
	}
	return false, false
}
