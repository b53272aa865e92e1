package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// rig holds what a case has started, and its record.
type rig struct {
	trouble   bool
	startedAt time.Time
	dir       string

	mu        sync.Mutex
	record    *os.File
	processes []*process
}

func newRig(recordPath string) (*rig, error) {
	f, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	r := &rig{trouble: os.Getenv("TROUBLE") != "0", startedAt: time.Now(), dir: dir, record: f}
	r.logf("started at %s, disruption: %v", r.startedAt.UTC().Format(time.RFC3339), r.trouble)
	return r, nil
}

// logf writes a line to the record, with the time in seconds since the start.
func (r *rig) logf(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%9.4f %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, a...))
}

// must ends the case with status 2 on an error. It may be called from any goroutine.
func (r *rig) must(err error) {
	if err != nil {
		r.logf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "rig:", err)
		r.close()
		os.Exit(2)
	}
}

// conclude records the verdict and returns the status.
func (r *rig) conclude(broken []string) int {
	for _, b := range broken {
		r.logf("BROKEN %s", b)
	}
	if len(broken) > 0 {
		fmt.Printf("rule broken %d times, first: %s\n", len(broken), broken[0])
		return 1
	}
	fmt.Println("rule held")
	return 0
}

// close ends all processes that the case has started.
func (r *rig) close() {
	for _, p := range r.processes {
		p.kill()
	}
	_ = os.RemoveAll(r.dir)
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.record.Sync()
}

// process is one gateway.
type process struct {
	r       *rig
	name    string
	address string // for clients
	command *exec.Cmd
	exited  chan struct{}
}

// gatewayConfig is what the platform tells a gateway.
type gatewayConfig struct {
	name, listen, discovery string
	memoryMB, sockets       int
	known                   any
	settings                string
	operator                string // text of the operator's file, if there is one
}

// freeAddress returns a loopback address with a port that is free at present.
func freeAddress() string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must(err)
	defer l.Close()
	return l.Addr().String()
}

var runLine = regexp.MustCompile(`(?m)^run = "([^"]*)"`)

// startGateway starts a gateway by the command of the deploy file and waits until it is ready, as the front does.
func (r *rig) startGateway(c gatewayConfig) *process {
	deploy, err := os.ReadFile("deploy/balancer.toml")
	must(err)
	run := runLine.FindSubmatch(deploy)
	if run == nil {
		panic("the deploy file has no run")
	}
	text, err := json.MarshalIndent(map[string]any{
		"name": c.name, "listen": c.listen, "discovery": c.discovery, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": c.memoryMB, "sockets": c.sockets},
		"known":  c.known, "settings": json.RawMessage(c.settings),
	}, "", " ")
	must(err)
	path := filepath.Join(r.dir, c.name+".json")
	must(os.WriteFile(path, text, 0o600))
	p := &process{r: r, name: c.name, address: c.listen, exited: make(chan struct{})}
	p.command = exec.Command("/bin/sh", "-c", string(run[1]))
	p.command.Env = append(os.Environ(), "EDGE_CONFIG="+path, "EDGE_NAME="+c.name, "EDGE_LISTEN="+c.listen, "EDGE_DISCOVERY="+c.discovery, "TMPDIR="+r.dir)
	if c.operator != "" {
		operator := filepath.Join(r.dir, c.name+".hcl")
		must(os.WriteFile(operator, []byte(c.operator), 0o600))
		p.command.Env = append(p.command.Env, "EDGE_OPERATOR="+operator)
	}
	output, err := p.command.StderrPipe()
	must(err)
	must(p.command.Start())
	r.processes = append(r.processes, p)
	go func() {
		for lines := bufio.NewScanner(output); lines.Scan(); {
			r.logf("log of %s: %s", c.name, lines.Text())
		}
		_ = p.command.Wait()
		close(p.exited)
	}()
	for end := time.Now().Add(30 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		if err = r.askReady(c.listen); err == nil {
			break
		}
		if time.Now().After(end) {
			panic(fmt.Sprintf("gateway %s is not ready: %v", c.name, err))
		}
	}
	r.logf("gateway %s is ready at %s", c.name, c.listen)
	return p
}

// askReady sends the front's empty query.
func (r *rig) askReady(address string) error {
	c, err := dialGateway(address)
	if err != nil {
		return err
	}
	defer c.close()
	if _, err := c.conn.Write(message('Q', "\x00")); err != nil {
		return err
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	kind, _, err := readMessage(c.reader)
	if err == nil && kind != 'I' {
		err = errors.New("no EmptyQueryResponse")
	}
	return err
}

// signal sends a signal to the gateway.
func (p *process) signal(s syscall.Signal) {
	p.r.logf("%v to gateway %s", s, p.name)
	must(p.command.Process.Signal(s))
}

func (p *process) kill() {
	_ = p.command.Process.Signal(syscall.SIGCONT)
	_ = p.command.Process.Kill()
	select {
	case <-p.exited:
	case <-time.After(5 * time.Second):
	}
}

// replace fills in the variables of a template for settings.
func replace(template string, pairs ...string) string {
	return strings.NewReplacer(pairs...).Replace(template)
}
