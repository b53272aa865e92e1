// Package cli is the command line.
package cli

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/posener/complete"
	"github.com/willabides/kongplete"

	"magpieglade/gateway"
	"magpieglade/internal/control"
	"magpieglade/internal/operator"
)

// commands are all that can be asked for; without a word the gateway serves.
type commands struct {
	Serve     serve       `cmd:"" default:"withargs" help:"Serve as a gateway. The platform's configuration is in the file that EDGE_CONFIG names."`
	Config    config      `cmd:"" help:"Look at an operator's file."`
	Fleet     fleets      `cmd:"" help:"Look at what the fleet agrees on and who votes, and change that."`
	Contracts contractsOf `cmd:"" help:"Book reserved capacity for tenants, and look at what is booked."`
	Metrics   metrics     `cmd:"" help:"Print what a gateway counts, in Prometheus' text form."`
	Ledger    books       `cmd:"" help:"Look at the ledger of sessions' marks."`

	Rehearse rehearsal `cmd:"" help:"Play days in which things go wrong, on a virtual clock or with real processes on loopback, and report."`

	Experiment experiments `cmd:"" help:"Play many days and compare variants, or search for the worst."`
	Load       load        `cmd:"" help:"Drive gateways at some addresses with a scenario's traffic."`

	Measure measure `cmd:"" help:"Play and measure parts of the program."`

	Completions kongplete.InstallCompletions `cmd:"" help:"Print what a shell needs to complete these commands: eval it, or put it where the shell starts."`
}

// Run carries out a command line and gives the status to end with.
func Run(args []string, out, problems io.Writer) int {
	var c commands
	status := 0
	parser, err := kong.New(&c, kong.Name("magpieglade"), kong.Writers(out, problems),
		kong.Description("A gateway that spreads database reads over replicas."),
		kong.Exit(func(code int) { status = code; panic(ended{}) }), kong.UsageOnError())
	if err != nil {
		fmt.Fprintln(problems, "magpieglade:", err)
		return 1
	}
	defer func() {
		if e := recover(); e != nil {
			if _, ok := e.(ended); !ok {
				panic(e)
			}
		}
	}()
	kongplete.Complete(parser, kongplete.WithPredictor("file", complete.PredictFiles("*")),
		kongplete.WithExitFunc(func(code int) { status = code; panic(ended{}) }))
	k, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(problems, "magpieglade:", err)
		return 2
	}
	k.BindTo(out, (*io.Writer)(nil))
	if err := k.Run(); err != nil {
		fmt.Fprintln(problems, "magpieglade:", err)
		return 1
	}
	return status
}

// ended is thrown where kong has said all, as after --help.
type ended struct{}

type serve struct {
	Operator string `help:"The operator's file." env:"EDGE_OPERATOR" type:"path" placeholder:"FILE"`
}

// Run serves until SIGTERM; SIGHUP reads the platform's configuration again.
func (s *serve) Run() error {
	again := make(chan os.Signal, 1)
	signal.Notify(again, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE) // a log that nobody reads is no reason to end
	// Further SIGTERMs change nothing: what was taken is owed its answer. A second interrupt, from a terminal, ends it at once.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	context.AfterFunc(ctx, func() { signal.Reset(os.Interrupt) })
	c, err := gateway.FromEnvironment()
	if err != nil {
		return err
	}
	var f *operator.File
	if s.Operator != "" {
		if f, err = operator.Read(s.Operator); err != nil {
			return err
		}
		f.Apply(&c)
	}
	g, err := gateway.New(c)
	if err != nil {
		return err
	}
	if s.Operator != "" && f.ControlSocket != "" {
		if err := control.Serve(ctx, f.ControlSocket, g); err != nil {
			return err
		}
	}
	go s.reload(ctx, g, again)
	return g.Run(ctx)
}

// reload reads both files anew at each signal.
func (s *serve) reload(ctx context.Context, g *gateway.Gateway, signals <-chan os.Signal) {
	for range signals {
		c, err := gateway.FromFile()
		if err == nil {
			err = g.Reload(c)
		}
		if err == nil && s.Operator != "" {
			err = s.apply(ctx, g)
		}
		if err != nil {
			slog.Error("not reloaded, the former configuration stays", "why", err)
		}
	}
}

// apply proposes what of the operator's file can be changed; the rest of it needs a restart. A signal is for this gateway
// alone, so it is refused where the fleet agrees on changes.
func (s *serve) apply(ctx context.Context, g *gateway.Gateway) error {
	f, err := operator.Read(s.Operator)
	if err != nil {
		return err
	}
	no, findings, err := g.Apply(ctx, gateway.Change{Document: f.Document, Digest: f.Digest, Text: f.Text, WatchDuration: int64(f.WatchDuration), LocalOnly: true})
	for _, x := range findings {
		slog.Warn("operator's file", "finding", x.Error())
	}
	if err == nil {
		slog.Info("change staged", "generation", no, "watch", f.WatchDuration)
	}
	return err
}
