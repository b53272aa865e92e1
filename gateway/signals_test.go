package gateway_test

import (
	"syscall"
	"testing"
)

// TestRequestsSurviveSecondSIGTERM guards against an end in order that a second SIGTERM cuts off.
func TestRequestsSurviveSecondSIGTERM(t *testing.T) {
	m := newMember("m", "read-write", "slow")
	w := start(256, m)
	defer w.stop()
	busy, got := w.connect(), make(chan string, 1)
	go func() { got <- ask(busy, sql("once", "")) }()
	await(m.open)
	must(w.process.Process.Signal(syscall.SIGTERM))
	w.logged("leaving")
	must(w.process.Process.Signal(syscall.SIGTERM))
	if answer := await(got); answer != "committed by m" {
		t.Errorf("the request that was open: %s", answer)
	}
	err := await(w.exited)
	if err != nil {
		t.Error(err)
	}
	w.exited <- err
}
