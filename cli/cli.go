// Package cli implements the commands of the magpieglade program.
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

// commands holds all commands; the default one is serve. The names of commands and flags come from the names of the fields.
type commands struct {
	Serve     serveCommand      `cmd:"" default:"withargs" help:"Run the gateway. EDGE_CONFIG names the file with the platform's configuration."`
	Config    configCommands    `cmd:"" help:"Check, compare and apply operator files."`
	Fleet     fleetCommands     `cmd:"" help:"Show and change what the fleet agrees on and which gateways vote."`
	Contracts contractsCommands `cmd:"" help:"Book reserved capacity for tenants, and show what is booked."`
	Metrics   metricsCommand    `cmd:"" help:"Print a gateway's metrics in the Prometheus text format."`
	Ledger    ledgerCommands    `cmd:"" help:"Verify and list the ledger of session positions."`

	Rehearse rehearseCommands `cmd:"" help:"Run fault scenarios on a virtual clock or with real processes on loopback, and report."`

	Experiment experimentCommands `cmd:"" help:"Run many scenarios and compare variants, or search for the worst case."`
	Load       loadCommand        `cmd:"" help:"Send a scenario's traffic to running gateways."`

	Measure measureCommands `cmd:"" help:"Simulate and measure parts of the program."`

	Completions kongplete.InstallCompletions `cmd:"" help:"Print the shell completion script: eval it, or add it to the shell's startup file."`
}

// Run executes the command line args and returns the exit status.
func Run(args []string, stdout, stderr io.Writer) int {
	var cli commands
	status := 0
	parser, err := kong.New(&cli, kong.Name("magpieglade"), kong.Writers(stdout, stderr),
		kong.Description("A gateway that spreads database reads over replicas."),
		kong.Exit(func(code int) { status = code; panic(exitRequested{}) }), kong.UsageOnError())
	if err != nil {
		fmt.Fprintln(stderr, "magpieglade:", err)
		return 1
	}
	defer func() {
		if e := recover(); e != nil {
			if _, ok := e.(exitRequested); !ok {
				panic(e)
			}
		}
	}()
	kongplete.Complete(parser, kongplete.WithPredictor("file", complete.PredictFiles("*")),
		kongplete.WithExitFunc(func(code int) { status = code; panic(exitRequested{}) }))
	kongContext, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(stderr, "magpieglade:", err)
		return 2
	}
	kongContext.BindTo(stdout, (*io.Writer)(nil))
	if err := kongContext.Run(); err != nil {
		fmt.Fprintln(stderr, "magpieglade:", err)
		return 1
	}
	return status
}

// exitRequested is the panic value that replaces os.Exit where kong ends the program, as after --help.
type exitRequested struct{}

type serveCommand struct {
	Operator string `help:"The operator file." env:"EDGE_OPERATOR" type:"path" placeholder:"FILE"`
}

// Run serves until SIGTERM or an interrupt; SIGHUP reloads the platform's configuration and the operator file.
func (s *serveCommand) Run() error {
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE) // a closed log pipe must not end the process
	// Further SIGTERMs change nothing: accepted txns still get their responses. A second interrupt, from a terminal, ends
	// the process at once.
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
	go s.reload(ctx, g, reloadSignals)
	return g.Run(ctx)
}

// reload reads the platform's configuration and the operator file again at each signal.
func (s *serveCommand) reload(ctx context.Context, g *gateway.Gateway, signals <-chan os.Signal) {
	for range signals {
		c, err := gateway.FromFile()
		if err == nil {
			err = g.Reload(c)
		}
		if err == nil && s.Operator != "" {
			err = s.applyOperatorFile(ctx, g)
		}
		if err != nil {
			slog.Error("not reloaded, keeping the current configuration", "why", err)
		}
	}
}

// applyOperatorFile stages the settings of the operator file that can change at run time; the others need a restart. A
// signal reaches this gateway alone, so the change is refused where the fleet agrees on changes.
func (s *serveCommand) applyOperatorFile(ctx context.Context, g *gateway.Gateway) error {
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
