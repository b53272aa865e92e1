package control

import (
	"net"
	"syscall"
	"testing"
)

// failingListener fails some times before it accepts.
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
	ours, theirs := net.Pipe()
	_ = theirs.Close()
	return ours, nil
}

// TestControlSurvivesFailedAccept guards against a control socket that nobody serves any more once accept has failed.
func TestControlSurvivesFailedAccept(t *testing.T) {
	f := &few{Listener: &failingListener{failures: []error{syscall.ENOBUFS, syscall.EMFILE, syscall.ENOMEM}}, free: make(chan struct{}, 1)}
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
		t.Errorf("behind the listener's close: %v", err)
	}
}
