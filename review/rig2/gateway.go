package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync"
	"syscall"
	"time"
)

// gateway is a gateway's process.
type gateway struct {
	rec     *record
	name    string
	address string
	process *exec.Cmd
	ended   chan struct{}
}

// gatewayConfig is what a gateway is told.
type gatewayConfig struct {
	name      string
	listen    string // chosen if empty
	discovery string
	known     map[string]any // nil for none
	settings  map[string]any
	operator  string // text of the operator's file, empty for none
}

var runLine = regexp.MustCompile(`(?m)^run = "((?:[^"\\]|\\.)*)"`)

var (
	startedMu sync.Mutex
	started   []*gateway
)

// Ports that outgoing connections do not get: an address stays free while nobody listens there.
const (
	firstPort = 15000
	ports     = 15000
)

// listenFree listens on a free port of a loopback address.
func listenFree() (l net.Listener, err error) {
	for range 1000 {
		l, err = net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(ports)))
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) {
			break
		}
	}
	return l, err
}

// freeAddress returns a loopback address with a free port.
func freeAddress() (string, error) {
	l, err := listenFree()
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// startGateway starts a gateway with the command of the deploy file.
func (r *rig) startGateway(c gatewayConfig) (*gateway, error) {
	deploy, err := os.ReadFile(filepath.Join(r.root, "deploy", "balancer.toml"))
	if err != nil {
		return nil, err
	}
	command := runLine.FindSubmatch(deploy)
	if command == nil {
		return nil, errors.New("the deploy file has no run line")
	}
	if c.listen == "" {
		if c.listen, err = freeAddress(); err != nil {
			return nil, err
		}
	}
	config := map[string]any{"name": c.name, "listen": c.listen, "discovery": c.discovery, "seed": fmt.Sprintf("%016x", rand.Uint64()),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": c.settings}
	if c.known != nil {
		config["known"] = c.known
	}
	text, err := json.Marshal(config)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(r.temp, c.name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	g := &gateway{rec: r.record, name: c.name, address: c.listen, ended: make(chan struct{})}
	g.process = exec.Command("/bin/sh", "-c", string(command[1]))
	g.process.Dir = r.root
	g.process.Env = append(os.Environ(), "EDGE_CONFIG="+path, "EDGE_NAME="+c.name, "EDGE_LISTEN="+c.listen, "EDGE_DISCOVERY="+c.discovery)
	if c.operator != "" {
		operatorPath := filepath.Join(r.temp, c.name+".hcl")
		if err := os.WriteFile(operatorPath, []byte(c.operator), 0o600); err != nil {
			return nil, err
		}
		g.process.Env = append(g.process.Env, "EDGE_OPERATOR="+operatorPath)
	}
	g.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	output, err := g.process.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := g.process.Start(); err != nil {
		return nil, err
	}
	r.logf("gateway %s starts at %s, process %d", c.name, c.listen, g.process.Process.Pid)
	startedMu.Lock()
	started = append(started, g)
	startedMu.Unlock()
	go func() {
		for lines := bufio.NewScanner(output); lines.Scan(); {
			r.logf("log of %s: %s", c.name, lines.Text())
		}
		err := g.process.Wait()
		r.logf("gateway %s has ended: %v", c.name, err)
		close(g.ended)
	}()
	return g, nil
}

// awaitReady waits until the gateway answers an empty query.
func (g *gateway) awaitReady(timeout time.Duration) error {
	end := time.Now().Add(timeout)
	for time.Now().Before(end) {
		if g.answersEmptyQuery() {
			g.rec.logf("gateway %s is ready", g.name)
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("gateway %s is not ready within %v", g.name, timeout)
}

func (g *gateway) answersEmptyQuery() bool {
	c, err := connect(g.rec, g.address)
	if err != nil {
		return false
	}
	defer c.close()
	if c.ready(3*time.Second) != nil {
		return false
	}
	if _, err := c.conn.Write(appendQuery(nil, "")); err != nil {
		return false
	}
	kind, _, err := readMessage(c.in)
	return err == nil && kind == 'I'
}

// signal sends a signal to the gateway's process.
func (g *gateway) signal(s syscall.Signal) {
	g.rec.logf("gateway %s gets the signal %v", g.name, s)
	_ = g.process.Process.Signal(s)
}

// endGateways kills all gateways that were started.
func endGateways() {
	startedMu.Lock()
	defer startedMu.Unlock()
	for _, g := range started {
		_ = g.process.Process.Kill()
		select {
		case <-g.ended:
		case <-time.After(5 * time.Second):
		}
	}
	started = nil
}
