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

// fleet is some gateways of this build, as processes, with one list and one front before them.
type fleet struct {
	list     *standin.List
	front    *standin.ClientPool
	gateways []*process
	dir      string
	operator string // the operator's file; %LISTEN% and %GATEWAYS% are put in
	settings string
	ghosts   int // gateways in the list that never run
	closers  []func()
	skews    func(*process)        // sets what is unlike in one, nil where all are alike
	via      func(*process) string // at which address others reach a gateway, nil at its own

	addresses map[int]string
}

// process is one gateway.
type process struct {
	f              *fleet
	no             int
	listen, peer   string
	cmd            *exec.Cmd
	log            chan string
	exited         chan error
	all            []string
	extra          []string      // environment
	discovery      string        // of this one alone, if it has another list
	rate           float64       // of its clock against the others', 0 for the program as it is
	slow           time.Duration // of its disk, at the most
	operatorFile   string
	readLedger     string // the line that tells what its ledger held
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

// newFleet starts n gateways before some members. Without an operator's file they know nothing of one another.
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

// add starts the gateways of a fleet, which all know of one another.
func (f *fleet) add(n int) {
	var fronts []string
	for i := range n {
		p := &process{f: f, no: i, listen: freePort("tcp4", "127.0.0.2"), peer: freePort("udp4", "127.0.0.3")}
		if f.gateways = append(f.gateways, p); f.skews != nil {
			f.skews(p)
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

// peerList is the list of gateways as the operator's file has it.
func (f *fleet) peerList() string {
	var all []string
	for _, p := range f.gateways {
		all = append(all, fmt.Sprintf("%q", p.peer))
	}
	for i := range f.ghosts {
		all = append(all, fmt.Sprintf("\"127.0.0.9:%d\"", 9000+i))
	}
	return "[" + strings.Join(all, ", ") + "]"
}

func (p *process) start() {
	f := p.f
	text, err := json.Marshal(map[string]any{"name": fmt.Sprint("n", p.no), "listen": p.listen, "discovery": cmp.Or(p.discovery, f.list.Address()),
		"seed": fmt.Sprint(p.no + 1), "limits": map[string]any{"memory_mb": 192, "sockets": 256}, "known": f.list.Snapshot(),
		"settings": json.RawMessage(f.settings)})
	must(err)
	p.configFileName = filepath.Join(f.dir, fmt.Sprintf("config%d.json", p.no))
	must(os.WriteFile(p.configFileName, text, 0o600))
	var args []string
	if f.operator != "" {
		p.operatorFile = filepath.Join(f.dir, fmt.Sprintf("operator%d.hcl", p.no))
		address, voters := p.peer, "[]"
		if f.via != nil {
			var ask []string
			for _, x := range f.gateways[:min(3, len(f.gateways))] {
				ask = append(ask, fmt.Sprintf("%q", f.via(x)))
			}
			address, voters = f.via(p), "["+strings.Join(ask, ", ")+"]"
		}
		words := strings.NewReplacer("%ADDRESS%", address, "%VOTERS%", voters, "%LISTEN%", p.peer, "%GATEWAYS%", f.peerList(), "%DIR%", filepath.Join(f.dir, fmt.Sprint("ledger", p.no)))
		must(os.WriteFile(p.operatorFile, []byte(words.Replace(f.operator)), 0o600))
		args = []string{"serve", "--operator", p.operatorFile}
	}
	p.log, p.exited = make(chan string, 100000), make(chan error, 1)
	p.cmd = exec.Command(program, args...)
	if p.rate != 0 {
		p.cmd = exec.Command(os.Args[0])
		p.extra = []string{fmt.Sprintf("%s=%g", clockRateVariable, p.rate), fmt.Sprintf("%s=%v", diskDelayVariable, p.slow), "EDGE_OPERATOR=" + p.operatorFile}
	}
	p.cmd.Env = append(append(os.Environ(), "EDGE_CONFIG="+p.configFileName), p.extra...)
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
		p.readLedger = p.logged("ledger read")
	}
	p.logged("listening")
}

// drain takes what it has logged so far.
func (p *process) drain() {
	for {
		select {
		case line := <-p.log:
			p.all = append(p.all, line)
		default:
			return
		}
	}
}

// kill ends it as the kernel would.
func (p *process) kill() {
	if p.cmd != nil {
		_ = p.cmd.Process.Kill()
		<-p.exited
		p.cmd = nil
	}
}

// logged waits for a line and gives it.
func (p *process) logged(part string) string {
	for {
		select {
		case line := <-p.log:
			p.all = append(p.all, line)
			if strings.Contains(line, part) {
				return line
			}
		case err := <-p.exited:
			p.exited <- err
			panic(fmt.Sprintf("gateway %d ended before %q: %v\n%s", p.no, part, err, strings.Join(p.all, "\n")))
		case <-time.After(soon):
			panic(fmt.Sprintf("gateway %d did not log %q:\n%s", p.no, part, strings.Join(p.all, "\n")))
		}
	}
}

// covered is an operator's file for gateways that tell one another what they answered.
const covered = `
sessions {
  tokens = "hints"
  peers {
    listen   = "%LISTEN%"
    gateways = %GATEWAYS%
    key "1" { file = "key" }
  }
}
`
