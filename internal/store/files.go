package store

import (
	"io"
	"os"
	"strings"

	"golang.org/x/sys/unix"
)

// FileSystem has the file operations that a store needs.
type FileSystem interface {
	MkdirAll(path string) error
	Create(path string) (File, error) // a new file to append to
	Open(path string) (io.ReadCloser, error)
	List(dir string) ([]string, error)
	Remove(path string) error
	SyncDir(path string) error
	Lock(path string) (File, error) // ErrInUse if another process holds it
	Map(path string, size int) ([]byte, func() error, error)
}

// File is a file that is appended to.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

// System returns the operating system's file system.
func System() FileSystem { return systemFiles{} }

// systemFiles implements FileSystem with the operating system's files.
type systemFiles struct{}

func (systemFiles) MkdirAll(path string) error { return os.MkdirAll(path, 0o700) }

func (systemFiles) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC|os.O_APPEND, 0o600)
}

func (systemFiles) Open(path string) (io.ReadCloser, error) { return os.Open(path) }

func (systemFiles) List(dir string) (names []string, err error) {
	entries, err := os.ReadDir(dir)
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, err
}

func (systemFiles) Remove(path string) error { return os.Remove(path) }

func (systemFiles) SyncDir(path string) error {
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

// Map maps a file of a fixed size into memory. All of its blocks are allocated and synced first, so that writing to the
// page needs no disk space.
func (systemFiles) Map(path string, size int) ([]byte, func() error, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, nil, err
	}
	defer f.Close()
	existing, err := io.ReadAll(io.LimitReader(f, int64(size)))
	if err != nil {
		return nil, nil, err
	}
	if len(existing) < size {
		if _, err := f.WriteAt(make([]byte, size-len(existing)), int64(len(existing))); err != nil {
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

// unknownBoot is the boot ID if the kernel provides none. It matches no boot, not even itself.
const unknownBoot = "unknown"

// bootID returns the kernel's ID of the current boot of the machine.
func bootID() string {
	text, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return unknownBoot
	}
	return strings.TrimSpace(string(text))
}
