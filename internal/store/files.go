package store

import (
	"io"
	"os"
	"strings"

	"golang.org/x/sys/unix"
)

// Files is what a store needs of a file system.
type Files interface {
	MkdirAll(path string) error
	Create(path string) (File, error) // a new file to append to
	Open(path string) (io.ReadCloser, error)
	List(folder string) ([]string, error)
	Remove(path string) error
	SyncFolder(path string) error
	Lock(path string) (File, error) // ErrInUse where another process holds it
	Map(path string, size int) ([]byte, func() error, error)
}

// File is a file that is appended to.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

// System is the operating system's file system.
func System() Files { return systemFiles{} }

// systemFiles are the operating system's.
type systemFiles struct{}

func (systemFiles) MkdirAll(path string) error { return os.MkdirAll(path, 0o700) }

func (systemFiles) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC|os.O_APPEND, 0o600)
}

func (systemFiles) Open(path string) (io.ReadCloser, error) { return os.Open(path) }

func (systemFiles) List(folder string) (names []string, err error) {
	entries, err := os.ReadDir(folder)
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, err
}

func (systemFiles) Remove(path string) error { return os.Remove(path) }

func (systemFiles) SyncFolder(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

func (systemFiles) Lock(path string) (File, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = f.Close()
		if err == unix.EWOULDBLOCK {
			return nil, ErrInUse
		}
		return nil, err
	}
	return f, nil
}

// Map maps a file of a fixed size, all of it on the disk already, so that a store to it needs no space.
func (systemFiles) Map(path string, size int) ([]byte, func() error, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, nil, err
	}
	defer f.Close()
	now, err := io.ReadAll(io.LimitReader(f, int64(size)))
	if err != nil {
		return nil, nil, err
	}
	if len(now) < size {
		if _, err := f.WriteAt(make([]byte, size-len(now)), int64(len(now))); err != nil {
			return nil, nil, err
		}
		if err := f.Sync(); err != nil {
			return nil, nil, err
		}
	}
	page, err := unix.Mmap(int(f.Fd()), 0, size, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED)
	if err != nil {
		return nil, nil, err
	}
	return page, func() error {
		err := unix.Msync(page, unix.MS_SYNC)
		if e := unix.Munmap(page); err == nil {
			err = e
		}
		return err
	}, nil
}

// bootID tells this run of the machine from others; where the kernel does not, no two runs are the same.
func bootID() string {
	text, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return "unknown"
	}
	return strings.TrimSpace(string(text))
}
