package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/aymanbagabas/go-udiff"

	"magpieglade/internal/control"
	"magpieglade/internal/operator"
	"magpieglade/rollout"
)

// configCommands holds the commands on operator files and the changes of a running gateway.
type configCommands struct {
	Check   configCheck   `cmd:"" help:"Validate an operator file; prints nothing and exits with status 0 if it is valid."`
	Diff    configDiff    `cmd:"" help:"Compare an operator file with the configuration in force; status 1 if they differ."`
	Apply   configApply   `cmd:"" help:"Apply to a running gateway the settings of a file that can change at run time. The change is watched, and undone if health worsens."`
	Status  configStatus  `cmd:"" help:"Show which generation is in force and which change is watched."`
	History configHistory `cmd:"" help:"List the changes that were kept or undone since the gateway started."`
	Keep    configKeep    `cmd:"" help:"Keep the watched change."`
	Restore configRestore `cmd:"" help:"Propose the text of an earlier version to the fleet again."`
	Undo    configUndo    `cmd:"" help:"Undo the watched change, or drop the staged one."`
}

type configCheck struct {
	File string `arg:"" type:"existingfile" help:"The operator file." predictor:"file"`
	JSON bool   `name:"json" help:"As JSON."`
}

// Run validates the file.
func (c *configCheck) Run(out io.Writer) error {
	_, err := operator.Read(c.File)
	if c.JSON {
		problem := ""
		if err != nil {
			problem = err.Error()
		}
		if e := json.NewEncoder(out).Encode(map[string]any{"good": err == nil, "problem": problem}); e != nil {
			return e
		}
	}
	return err
}

// controlOptions holds the flags of the commands that query a running gateway over its control socket.
type controlOptions struct {
	Control string `help:"The gateway's control socket, as set in its operator file." env:"EDGE_CONTROL" required:"" type:"path" predictor:"file"`
	JSON    bool   `name:"json" help:"As JSON."`
}

// request sends a request to the gateway and, with --json, prints the reply.
func (s *controlOptions) request(out io.Writer, method, what string, q *control.Request) (control.Reply, error) {
	r, err := control.Call(context.Background(), s.Control, method, what, q)
	if s.JSON {
		if e := json.NewEncoder(out).Encode(r); e != nil {
			return r, e
		}
	}
	return r, err
}

// printJSON prints x as JSON if --json is set.
func (s *controlOptions) printJSON(out io.Writer, x any) error {
	if !s.JSON {
		return nil
	}
	return json.NewEncoder(out).Encode(x)
}

type configDiff struct {
	controlOptions
	File string `arg:"" type:"existingfile" help:"The operator file." predictor:"file"`
}

// Run prints a line diff of the file and the text of the generation in force.
func (d *configDiff) Run(out io.Writer) error {
	text, err := os.ReadFile(d.File)
	if err != nil {
		return err
	}
	r, err := d.request(out, "GET", "text", nil)
	if err != nil {
		return err
	}
	if r.Text == string(text) {
		return nil
	}
	if !d.JSON {
		fmt.Fprint(out, udiff.Unified(fmt.Sprintf("generation %d, in force", r.Generation), d.File, r.Text, string(text)))
	}
	return fmt.Errorf("%s is not what is in force", d.File)
}

type configApply struct {
	controlOptions
	File  string         `arg:"" type:"existingfile" help:"The operator file." predictor:"file"`
	Watch *time.Duration `help:"How long the change is watched and undone if health worsens; 0 keeps it at once. The default is the file's value."`
	Again bool           `help:"Apply it even if the same change was undone before."`
	Why   string         `help:"The reason of the change, recorded where the fleet agrees on changes."`
	Wait  bool           `help:"Wait until the change is kept or undone; status 1 if it was undone."`
}

// Run applies the file and, with --wait, waits for the outcome.
func (a *configApply) Run(out io.Writer) error {
	text, err := os.ReadFile(a.File)
	if err != nil {
		return err
	}
	q := control.Request{Text: string(text), Path: a.File, WatchDuration: -1, Reapply: a.Again, Author: currentUser(), Reason: a.Why}
	if a.Watch != nil {
		q.WatchDuration = int64(*a.Watch)
	}
	r, err := a.request(out, "POST", "apply", &q)
	if !a.JSON {
		for _, f := range r.Findings {
			fmt.Fprintln(out, f)
		}
	}
	if err != nil {
		return err
	}
	if f, err := control.Call(context.Background(), a.Control, "GET", "fleet", nil); err == nil && f.Fleet != nil {
		return a.waitInForce(out, uint64(r.Generation))
	}
	if !a.JSON {
		fmt.Fprintf(out, "generation %d staged\n", r.Generation)
	}
	for a.Wait {
		s, err := control.Call(context.Background(), a.Control, "GET", "status", nil)
		if err != nil {
			return err
		}
		for _, e := range s.Status.Finished {
			if e.Generation == r.Generation && !e.Kept {
				return fmt.Errorf("generation %d undone: %s%s", e.Generation, e.Why, e.Text)
			} else if e.Generation == r.Generation {
				fmt.Fprintf(out, "generation %d kept: %s\n", e.Generation, e.Why)
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil
}

type configStatus struct{ controlOptions }

// Run prints the stage, the generations and the health of the gateway.
func (s *configStatus) Run(out io.Writer) error {
	r, err := s.request(out, "GET", "status", nil)
	if err != nil || s.JSON {
		return err
	}
	status := r.Status
	fmt.Fprintf(out, "%s: generation %d in force, %d kept", status.Stage, status.InForce, status.Kept)
	if status.Staged != 0 {
		fmt.Fprintf(out, ", %d staged", status.Staged)
	}
	if status.Stage == rollout.Watched {
		fmt.Fprintf(out, ", %v of its watch left", time.Duration(status.Left).Round(time.Millisecond))
	}
	fmt.Fprintf(out, "; %s\n", status.Health)
	return nil
}

type configHistory struct{ controlOptions }

// Run lists the fleet's versions, or the gateway's finished changes where no fleet agrees on them.
func (h *configHistory) Run(out io.Writer) error {
	if f, err := control.Call(context.Background(), h.Control, "GET", "fleet", nil); err == nil && f.Fleet != nil {
		return printVersions(out, f.Fleet, h.JSON)
	}
	r, err := h.request(out, "GET", "status", nil)
	if err != nil || h.JSON {
		return err
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "generation\tkept\twhy\tfigures")
	for _, e := range r.Status.Finished {
		fmt.Fprintf(table, "%d\t%v\t%s\t%s\n", e.Generation, e.Kept, e.Why, e.Text)
	}
	return table.Flush()
}

type configKeep struct{ controlOptions }

// Run keeps the watched change.
func (k *configKeep) Run(out io.Writer) error {
	_, err := k.request(out, "POST", "keep", nil)
	return err
}

type configUndo struct{ controlOptions }

// Run undoes the watched change or drops the staged one.
func (u *configUndo) Run(out io.Writer) error {
	_, err := u.request(out, "POST", "undo", nil)
	return err
}
