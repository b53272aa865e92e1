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

type config struct {
	Check   check   `cmd:"" help:"Say what is wrong with an operator's file; nothing and status 0 if it is good."`
	Diff    diff    `cmd:"" help:"Compare an operator's file with what is in force; status 1 if they differ."`
	Apply   apply   `cmd:"" help:"Have a running gateway apply what of a file can be changed. It is watched, and undone if health worsens."`
	Status  status  `cmd:"" help:"Tell which generation is in force and what is watched."`
	History history `cmd:"" help:"List the changes that ended since the gateway's start."`
	Keep    keep    `cmd:"" help:"Keep the watched change."`
	Restore restore `cmd:"" help:"Have the fleet agree on a former version again."`
	Undo    undo    `cmd:"" help:"Undo the watched change, or drop the staged one."`
}

type check struct {
	File string `arg:"" type:"existingfile" help:"The operator's file." predictor:"file"`
	JSON bool   `name:"json" help:"As JSON."`
}

// Run reads the file.
func (c *check) Run(out io.Writer) error {
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

// socket is how a running gateway is reached.
type socket struct {
	Control string `help:"The gateway's control socket, as its operator's file has it." env:"EDGE_CONTROL" required:"" type:"path" predictor:"file"`
	JSON    bool   `name:"json" help:"As JSON."`
}

func (s *socket) ask(out io.Writer, method, what string, q *control.Request) (control.Reply, error) {
	r, err := control.Call(context.Background(), s.Control, method, what, q)
	if s.JSON {
		if e := json.NewEncoder(out).Encode(r); e != nil {
			return r, e
		}
	}
	return r, err
}

// json writes something as JSON, where that is asked for.
func (s *socket) json(out io.Writer, x any) error {
	if !s.JSON {
		return nil
	}
	return json.NewEncoder(out).Encode(x)
}

type diff struct {
	socket
	File string `arg:"" type:"existingfile" help:"The operator's file." predictor:"file"`
}

// Run compares them line by line: what is in force was a file too.
func (d *diff) Run(out io.Writer) error {
	text, err := os.ReadFile(d.File)
	if err != nil {
		return err
	}
	r, err := d.ask(out, "GET", "text", nil)
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

type apply struct {
	socket
	File  string         `arg:"" type:"existingfile" help:"The operator's file." predictor:"file"`
	Watch *time.Duration `help:"For how long it is undone if health worsens; 0 keeps it at once. Without it what the file says."`
	Again bool           `help:"Also if it was undone before."`
	Why   string         `help:"What it is for, where the fleet agrees on changes."`
	Wait  bool           `help:"Wait until it is kept or undone; status 1 if it was undone."`
}

// Run applies it.
func (a *apply) Run(out io.Writer) error {
	text, err := os.ReadFile(a.File)
	if err != nil {
		return err
	}
	q := control.Request{Text: string(text), Path: a.File, WatchDuration: -1, Reapply: a.Again, Author: who(), Reason: a.Why}
	if a.Watch != nil {
		q.WatchDuration = int64(*a.Watch)
	}
	r, err := a.ask(out, "POST", "apply", &q)
	if !a.JSON {
		for _, f := range r.Findings {
			fmt.Fprintln(out, f)
		}
	}
	if err != nil {
		return err
	}
	if f, err := control.Call(context.Background(), a.Control, "GET", "fleet", nil); err == nil && f.Fleet != nil {
		return a.agreed(out, uint64(r.Generation))
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

type status struct{ socket }

// Run tells it.
func (s *status) Run(out io.Writer) error {
	r, err := s.ask(out, "GET", "status", nil)
	if err != nil || s.JSON {
		return err
	}
	x := r.Status
	fmt.Fprintf(out, "%s: generation %d in force, %d kept", x.Stage, x.InForce, x.Kept)
	if x.Staged != 0 {
		fmt.Fprintf(out, ", %d staged", x.Staged)
	}
	if x.Stage == rollout.Watched {
		fmt.Fprintf(out, ", %v of its watch left", time.Duration(x.Left).Round(time.Millisecond))
	}
	fmt.Fprintf(out, "; %s\n", x.Health)
	return nil
}

type history struct{ socket }

// Run lists it.
func (h *history) Run(out io.Writer) error {
	if f, err := control.Call(context.Background(), h.Control, "GET", "fleet", nil); err == nil && f.Fleet != nil {
		return versionsTo(out, f.Fleet, h.JSON)
	}
	r, err := h.ask(out, "GET", "status", nil)
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

type keep struct{ socket }

// Run keeps it.
func (k *keep) Run(out io.Writer) error {
	_, err := k.ask(out, "POST", "keep", nil)
	return err
}

type undo struct{ socket }

// Run undoes it.
func (u *undo) Run(out io.Writer) error {
	_, err := u.ask(out, "POST", "undo", nil)
	return err
}
