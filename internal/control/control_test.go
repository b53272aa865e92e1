package control

import (
	"net"
	"syscall"
	"testing"
)

// failingListener returns the given errors before it accepts.
type failingListener struct {
	net.Listener
	failures []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.failures) > 0 {
		err := l.failures[0]
		l.failures = l.failures[1:]
		return nil, err
	}
	server, client := net.Pipe()
	_ = client.Close()
	return server, nil
}

// TestControlSurvivesFailedAccept guards against a server that stops accepting after a transient error of accept, such as
// exhausted file descriptors or memory.
func TestControlSurvivesFailedAccept(t *testing.T) {
	f := &limitedListener{Listener: &failingListener{failures: []error{syscall.ENOBUFS, syscall.EMFILE, syscall.ENOMEM}}, slots: make(chan struct{}, 1)}
	for range 3 {
		c, err := f.Accept()
		if err != nil {
			t.Fatal(err)
		}
		if err := c.Close(); err != nil {
			t.Fatal(err)
		}
	}
	f.Listener = &failingListener{failures: []error{net.ErrClosed}}
	if _, err := f.Accept(); err != net.ErrClosed {
		t.Errorf("Accept on a closed listener: got %v, want net.ErrClosed", err)
	}
}
