package gateway_test

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"magpieglade/standin"
)

// fleet is a set of gateway processes of this build with one member list and one client pool.
type fleet struct {
	list         *standin.List
	front        *standin.ClientPool
	gateways     []*process
	dir          string
	operator     string // operator's file with placeholders such as %LISTEN% and %GATEWAYS%
	settings     string
	sockets      int // that each gateway may use, 0 for 256
	neverStarted int // listed gateways that never run
	closers      []func()
	customize    func(*process)        // changes the settings of single gateways, nil if all are alike
	advertised   func(*process) string // address at which others reach a gateway, nil for its own

	addresses map[int]string
}

// process is one gateway process.
type process struct {
	fleet          *fleet
	index          int
	listen, peer   string
	cmd            *exec.Cmd
	log            chan string
	exited         chan error
	lines          []string
	env            []string      // additional environment variables
	discovery      string        // its own list service, if it is not the fleet's
	clockRate      float64       // relative to the other clocks, 0 for the unmodified program
	maxDiskDelay   time.Duration // of its disk
	operatorFile   string
	readLedger     string // log line about the ledger it read
	configFileName string
}

func freePort(network, host string) string {
	if network == "udp4" {
		c, err := net.ListenPacket(network, host+":0")
		must(err)
		defer c.Close()
		return c.LocalAddr().String()
	}
	l, err := net.Listen(network, host+":0")
	must(err)
	defer l.Close()
	return l.Addr().String()
}

// newFleet starts n gateways for some members. Without an operator's file they don't know of each other.
func newFleet(n int, operator string, members ...*standin.Member) *fleet {
	var hosts []standin.Host
	for _, m := range members {
		hosts = append(hosts, m.ListEntry("active"))
	}
	dir, err := os.MkdirTemp(filepath.Dir(program), "fleet")
	must(err)
	f := &fleet{list: standin.NewList(hosts...), dir: dir, operator: operator, settings: settings}
	must(os.WriteFile(filepath.Join(dir, "key"), []byte(strings.Repeat("ab", 32)), 0o600))
	f.add(n)
	return f
}

// add starts n gateways that all know of each other.
func (f *fleet) add(n int) {
	var fronts []string
	for i := range n {
		p := &process{fleet: f, index: i, listen: freePort("tcp4", "127.0.0.2"), peer: freePort("udp4", "127.0.0.3")}
		if f.gateways = append(f.gateways, p); f.customize != nil {
			f.customize(p)
		}
		fronts = append(fronts, p.listen)
	}
	f.front = standin.NewClientPool(fronts...)
	for _, p := range f.gateways {
		p.start()
	}
}

func (f *fleet) stop() {
	for _, c := range f.closers {
		c()
	}
	for _, p := range f.gateways {
		p.kill()
	}
	f.list.Close()
}

// peerList returns the list of gateways in the form of the operator's file.
func (f *fleet) peerList() string {
	var all []string
	for _, p := range f.gateways {
		all = append(all, fmt.Sprintf("%q", p.peer))
	}
	for i := range f.neverStarted {
		all = append(all, fmt.Sprintf("\"127.0.0.9:%d\"", 9000+i))
	}
	return "[" + strings.Join(all, ", ") + "]"
}

func (p *process) start() {
	f := p.fleet
	text, err := json.Marshal(map[string]any{"name": fmt.Sprint("n", p.index), "listen": p.listen, "discovery": cmp.Or(p.discovery, f.list.Address()),
		"seed": fmt.Sprint(p.index + 1), "limits": map[string]any{"memory_mb": 192, "sockets": cmp.Or(f.sockets, 256)}, "known": f.list.Snapshot(),
		"settings": json.RawMessage(f.settings)})
	must(err)
	p.configFileName = filepath.Join(f.dir, fmt.Sprintf("config%d.json", p.index))
	must(os.WriteFile(p.configFileName, text, 0o600))
	var args []string
	if f.operator != "" {
		p.operatorFile = filepath.Join(f.dir, fmt.Sprintf("operator%d.hcl", p.index))
		address, voters := p.peer, "[]"
		if f.advertised != nil {
			var ask []string
			for _, x := range f.gateways[:min(3, len(f.gateways))] {
				ask = append(ask, fmt.Sprintf("%q", f.advertised(x)))
			}
			address, voters = f.advertised(p), "["+strings.Join(ask, ", ")+"]"
		}
		words := strings.NewReplacer("%ADDRESS%", address, "%VOTERS%", voters, "%LISTEN%", p.peer, "%GATEWAYS%", f.peerList(), "%DIR%", filepath.Join(f.dir, fmt.Sprint("ledger", p.index)))
		must(os.WriteFile(p.operatorFile, []byte(words.Replace(f.operator)), 0o600))
		args = []string{"serve", "--operator", p.operatorFile}
	}
	p.log, p.exited = make(chan string, 100000), make(chan error, 1)
	p.cmd = exec.Command(program, args...)
	if p.clockRate != 0 {
		p.cmd = exec.Command(os.Args[0])
		p.env = []string{fmt.Sprintf("%s=%g", clockRateVariable, p.clockRate), fmt.Sprintf("%s=%v", diskDelayVariable, p.maxDiskDelay), "EDGE_OPERATOR=" + p.operatorFile}
	}
	p.cmd.Env = append(append(os.Environ(), "EDGE_CONFIG="+p.configFileName), p.env...)
	pipe, err := p.cmd.StderrPipe()
	must(err)
	must(p.cmd.Start())
	log, exited, cmd := p.log, p.exited, p.cmd
	go func() {
		for s := bufio.NewScanner(pipe); s.Scan(); {
			log <- s.Text()
		}
		exited <- cmd.Wait()
	}()
	if strings.Contains(f.operator, "ledger") {
		p.readLedger = p.awaitLog("ledger read")
	}
	p.awaitLog("listening")
}

// readLog collects the lines logged so far.
func (p *process) readLog() {
	for {
		select {
		case line := <-p.log:
			p.lines = append(p.lines, line)
		default:
			return
		}
	}
}

// kill ends the process with SIGKILL.
func (p *process) kill() {
	if p.cmd != nil {
		_ = p.cmd.Process.Kill()
		<-p.exited
		p.cmd = nil
	}
}

// awaitLog waits for a log line that contains part, and returns it.
func (p *process) awaitLog(part string) string {
	for {
		select {
		case line := <-p.log:
			p.lines = append(p.lines, line)
			if strings.Contains(line, part) {
				return line
			}
		case err := <-p.exited:
			p.exited <- err
			panic(fmt.Sprintf("gateway %d ended before %q: %v\n%s", p.index, part, err, strings.Join(p.lines, "\n")))
		case <-time.After(eventTimeout):
			panic(fmt.Sprintf("gateway %d did not log %q:\n%s", p.index, part, strings.Join(p.lines, "\n")))
		}
	}
}

// operatorWithPeers is an operator's file for gateways that report their answered writes to each other.
const operatorWithPeers = `
sessions {
  tokens = "hints"
  peers {
    listen   = "%LISTEN%"
    gateways = %GATEWAYS%
    key "1" { file = "key" }
  }
}
`
