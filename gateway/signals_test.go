package gateway_test

import (
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
)

// TestRequestsSurviveSecondSIGTERM guards against a graceful shutdown that a second SIGTERM cuts short.
func TestRequestsSurviveSecondSIGTERM(t *testing.T) {
	m := newMember("m", "read-write", "slow")
	w := startGateway(256, m)
	defer w.stop()
	busy, got := w.connect(), make(chan string, 1)
	go func() { got <- execute(busy, txnSQL("once", "")) }()
	await(m.queries)
	must(w.process.Process.Signal(syscall.SIGTERM))
	w.awaitLog("leaving")
	must(w.process.Process.Signal(syscall.SIGTERM))
	if answer := await(got); answer != "committed by m" {
		t.Errorf("the open request: %s", answer)
	}
	err := await(w.exited)
	if err != nil {
		t.Error(err)
	}
	w.exited <- err
}

// TestRequestsSurviveLostLogReader guards against a process that SIGPIPE ends after the reader of its log is gone.
func TestRequestsSurviveLostLogReader(t *testing.T) {
	w := startGateway(256, newMember("m", "read-write"))
	defer w.stop()
	must(w.process.Process.Kill())
	<-w.exited
	reader, writer, err := os.Pipe()
	must(err)
	must(reader.Close())
	w.process = exec.Command(program)
	w.process.Env = append(os.Environ(), "EDGE_CONFIG="+w.configPath, "EDGE_DISCOVERY="+w.discovery.listener.Addr().String())
	w.process.Stderr = writer
	must(w.process.Start())
	must(writer.Close())
	go func() { w.exited <- w.process.Wait() }()
	query := await(w.discovery.requests) // by then it has logged that it listens
	for query.Get("after") == "" {
		query = await(w.discovery.requests)
	}
	if got := execute(w.connect(), txnSQL("any", "")); !strings.HasPrefix(got, "committed") {
		t.Error(got)
	}
	must(w.process.Process.Signal(syscall.SIGTERM))
	err = await(w.exited)
	if err != nil {
		t.Error(err)
	}
	w.exited <- err
}

// TestReloadSurvivesFailedRead guards against a reload that is dropped because the file cannot be opened for a moment.
func TestReloadSurvivesFailedRead(t *testing.T) {
	w := startGateway(256, newMember("m", "read-write"))
	defer w.stop()
	next := newDiscovery()
	defer next.listener.Close()
	w.writeConfig(next, 256)
	restore := w.limitDescriptors(t, 1)
	must(w.process.Process.Signal(syscall.SIGHUP))
	w.awaitLog("config.json: too many open files")
	restore()
	await(next.requests)
}
