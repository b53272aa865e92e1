package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"magpieglade/ledger"
	"magpieglade/session"
)

// ledgerCommands holds the commands on a ledger's folder.
type ledgerCommands struct {
	Verify ledgerVerify `cmd:"" help:"Check that a ledger is complete: status 0 if it is, 1 if its gateway fences after a restart."`
	Show   ledgerShow   `cmd:"" help:"List the changes in a ledger."`
}

type ledgerVerify struct {
	Folder string `arg:"" type:"existingdir" help:"The ledger's folder."`
	JSON   bool   `name:"json" help:"As JSON."`
}

// verifyResult is the JSON output of ledger verify.
type verifyResult struct {
	Complete  bool            `json:"complete"`
	Clean     bool            `json:"clean"`
	Changes   int             `json:"changes"`
	TornBytes int64           `json:"torn_bytes"`
	Spoilt    int             `json:"spoilt"`
	Unread    int             `json:"unread"`
	Verdict   string          `json:"verdict"`
	Segments  []segmentResult `json:"segments"`
}

// segmentResult is the part of verifyResult on one segment.
type segmentResult struct {
	Name      string `json:"name"`
	Bytes     int64  `json:"bytes"`
	Records   int    `json:"records"`
	Whole     bool   `json:"whole"`
	TornBytes int64  `json:"torn_bytes"`
	Spoilt    int    `json:"spoilt"`
}

// Run reads the folder; a gateway may have it open meanwhile.
func (v *ledgerVerify) Run(out io.Writer) error {
	f, err := ledger.Read(v.Folder)
	if err != nil {
		return err
	}
	all := verifyResult{Complete: f.Complete, Clean: f.Clean, Changes: len(f.Changes), TornBytes: f.TornBytes, Spoilt: f.Corrupt,
		Unread: f.UnknownRecords, Verdict: describeLedger(f), Segments: []segmentResult{}}
	for _, s := range f.Segments {
		all.Segments = append(all.Segments, segmentResult{s.Name, s.Bytes, s.Records, s.SnapshotComplete, s.Torn, s.Corrupt})
	}
	if v.JSON {
		err = json.NewEncoder(out).Encode(all)
	} else {
		for _, s := range all.Segments {
			fmt.Fprintf(out, "%s: %d bytes, %d records, whole %v, torn bytes %d, spoilt %d\n", s.Name, s.Bytes, s.Records, s.Whole, s.TornBytes, s.Spoilt)
		}
		fmt.Fprintf(out, "%d changes, %s\n", all.Changes, all.Verdict)
	}
	if err == nil && !f.Complete {
		return errLedgerIncomplete
	}
	return err
}

var errLedgerIncomplete = fmt.Errorf("the ledger is not complete")

// describeLedger says whether the ledger is complete, and else why its gateway fences after a restart.
func describeLedger(f *ledger.Recovered) string {
	switch {
	case len(f.Segments) == 0:
		return "no ledger"
	case f.Corrupt > 0:
		return "spoilt: the disk or somebody has changed it; its gateway fences each group once after a restart"
	case f.UnknownRecords > 0:
		return "records of another version; its gateway fences each group once after a restart"
	case f.Complete && f.Clean:
		return "complete, ended in order"
	case f.Complete:
		return "complete, as its gateway answers nothing that is not written"
	}
	return "not complete: its gateway runs, or was killed, or the machine lost its power; it fences each group once after a restart"
}

type ledgerShow struct {
	Folder     string `arg:"" type:"existingdir" help:"The ledger's folder."`
	JSON       bool   `name:"json" help:"As JSON, one line for each change."`
	MaxChanges int    `default:"100" name:"most" help:"Maximum number of changes, the latest ones; 0 is all."`
}

// changeRow is a change of the ledger as ledger show lists it.
type changeRow struct {
	Kind     string  `json:"kind"`
	Peer     int     `json:"peer,omitempty"`
	No       uint64  `json:"no,omitempty"`
	Entry    string  `json:"entry,omitempty"`
	Group    int     `json:"group"`
	Key      string  `json:"key,omitempty"`
	Position float64 `json:"position_ms,omitempty"`
	Age      string  `json:"age,omitempty"`
}

// Run lists the latest changes.
func (s *ledgerShow) Run(out io.Writer) error {
	f, err := ledger.Read(s.Folder)
	if err != nil {
		return err
	}
	changes := f.Changes
	if s.MaxChanges > 0 && len(changes) > s.MaxChanges {
		changes = changes[len(changes)-s.MaxChanges:]
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if !s.JSON {
		fmt.Fprintln(table, "kind\tpeer\tno\tentry\tgroup\tkey\tposition (Unix ms)\tage")
	}
	for i := range changes {
		l := newChangeRow(&changes[i])
		if s.JSON {
			if err := json.NewEncoder(out).Encode(l); err != nil {
				return err
			}
			continue
		}
		fmt.Fprintf(table, "%s\t%d\t%d\t%s\t%d\t%s\t%.3f\t%s\n", l.Kind, l.Peer, l.No, l.Entry, l.Group, l.Key, l.Position, l.Age)
	}
	return table.Flush()
}

func newChangeRow(c *session.Change) changeRow {
	kinds := [...]string{"began", "noted", "heard", "caught up", "floor", "lost"}
	l := changeRow{Kind: kinds[c.Kind], Peer: c.Peer, No: c.Sequence, Group: c.Entry.Group, Position: float64(c.Entry.Position) / 1e6}
	if c.Kind == session.EntryRecorded || c.Kind == session.EntryReceived {
		l.Entry = [...]string{"mark", "sent"}[min(c.Entry.Kind, session.KeyedWriteEntry)]
		l.Key = fmt.Sprintf("%016x", c.Entry.Key)
		l.Age = time.Duration(c.Entry.Age).Round(time.Millisecond).String()
	}
	return l
}
