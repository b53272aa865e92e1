package cli

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/user"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"magpieglade/agreement"
	"magpieglade/fleet"
	"magpieglade/gateway"
	"magpieglade/internal/control"
)

type fleets struct {
	Status  fleetStatus `cmd:"" help:"Tell how this gateway stands to the fleet, who votes and which versions hold."`
	Shares  shares      `cmd:"" help:"Tell of bounds of the fleet: who keeps each, what this gateway holds of it, and where it is kept who holds what."`
	Subsets subsets     `cmd:"" help:"Tell which gateway has which members, and how even that is."`
	Turns   turnsNow    `cmd:"" help:"Tell whose turn it is for what one gateway does for all, and what others say of members."`
	Found   found       `cmd:"" help:"Begin a fleet with this gateway as its one voter: once in the fleet's life."`
	Voters  voters      `cmd:"" help:"Have gateways vote, or no longer. Three, five or seven of them, spread over zones."`
	Leave   leave       `cmd:"" help:"Take this gateway out of the fleet's list, as before it is turned off for good."`
	Evict   evict       `cmd:"" help:"Take a gateway out of the fleet's list that will not come back."`
}

// who is who asks, as histories show it.
func who() string {
	name := "somebody"
	if u, err := user.Current(); err == nil {
		name = u.Username
	}
	if host, err := os.Hostname(); err == nil {
		name += "@" + host
	}
	return name
}

type fleetStatus struct {
	socket
	Watch bool `help:"Go on telling it, on a screen."`
}

// Run tells it.
func (s *fleetStatus) Run(out io.Writer) error {
	if s.Watch {
		return s.watch(out)
	}
	r, err := s.ask(out, "GET", "fleet?all", nil)
	if err != nil || s.JSON {
		return err
	}
	return fleetTo(out, r.Fleet)
}

// fleetTo writes how a gateway stands.
func fleetTo(out io.Writer, s *fleet.Status) error {
	lease := "careful: its lease has run out"
	if s.LeaseRemaining > 0 {
		lease = fmt.Sprintf("may act for %v", time.Duration(s.LeaseRemaining).Round(10*time.Millisecond))
	}
	name := func(id agreement.ID) string {
		for _, g := range s.Manifest.Gateways {
			if g.ID == id {
				return g.Name
			}
		}
		return fmt.Sprintf("%x", uint64(id))
	}
	fmt.Fprintf(out, "%s %s; versions contradict each other for %v at most\n", name(s.Self), lease, time.Duration(s.MaxDivergence))
	if s.IsVoter {
		leader := "nobody it knows of"
		if s.Leader != 0 {
			leader = name(s.Leader)
		}
		fmt.Fprintf(out, "votes; %s leads, term %d\n", leader, s.Term)
	}
	for _, x := range s.Manifest.Subjects {
		fmt.Fprintf(out, "%s: %s", x.Name, versionOf(x.InForce))
		switch {
		case x.Next != nil && x.Step > 0:
			where := "elsewhere"
			if x.InCanary(s.Self) {
				where = "here too"
			}
			fmt.Fprintf(out, ", step %d of 2 tries %s, %s", x.Step, versionOf(x.Next), where)
		case x.Next != nil:
			fmt.Fprintf(out, ", next %s", versionOf(x.Next))
		}
		fmt.Fprintln(out)
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "gateway\taddress\tzone\tbuild\tvotes\tlease\tholds\n")
	for _, g := range s.Manifest.Gateways {
		left, holds := "-", "-" // no voter heard of it of late: it is careful, away, or its voter is
		if i := slices.IndexFunc(s.Leases, func(x agreement.GatewayLease) bool { return x.ID == g.ID }); i >= 0 {
			if x := s.Leases[i]; x.Remaining > 0 {
				left = fmt.Sprintf("%.1fs", float64(x.Remaining)/1e9)
			}
			if holds = "all"; s.Leases[i].KnownRevision < s.Manifest.Revision {
				holds = "an earlier state"
			}
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%v\t%s\t%s\n", g.Name, g.Address, cmp.Or(g.Zone, "-"), cmp.Or(g.Build, "-"), g.Vote, left, holds)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, g := range s.Manifest.Departed {
		fmt.Fprintf(out, "%s at %s was taken out and may serve clients yet: reads of sessions ask it too, until it says that it has ended or fleet evict %s --ended does\n", g.Name, g.Address, g.Name)
	}
	return nil
}

func versionOf(v *agreement.Version) string {
	if v == nil {
		return "none"
	}
	return fmt.Sprintf("version %d (%s) by %s", v.No, v.Digest, cmp.Or(v.Author, "-"))
}

// versionsTo lists the versions that are kept, or at a gateway that does not vote those that are alive.
func versionsTo(out io.Writer, s *fleet.Status, asJSON bool) error {
	var all []agreement.Version
	for _, x := range s.History {
		if x.Name == gateway.SubjectRoutes {
			all = append(all, x.Versions...)
		}
	}
	if len(all) == 0 {
		for _, x := range s.Manifest.Subjects {
			for _, v := range []*agreement.Version{x.InForce, x.Next} {
				if v != nil && x.Name == gateway.SubjectRoutes {
					all = append(all, *v)
				}
			}
		}
	}
	if asJSON {
		return json.NewEncoder(out).Encode(all)
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "version\tdigest\twho\twhen\twhy\tcontradicts its predecessor")
	for _, v := range all {
		clashes := cmp.Or(strings.Join(v.Conflicts, "; "), "no")
		if v.AbortReason != "" {
			clashes += "; dropped: " + v.AbortReason
		}
		fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%s\t%s\n", v.No, v.Digest, v.Author, time.Unix(0, v.ProposedAt).UTC().Format(time.DateTime), cmp.Or(v.Reason, "-"), clashes)
	}
	return table.Flush()
}

// agreed waits until a version is in force at this gateway, if that is asked for.
func (a *apply) agreed(out io.Writer, no uint64) error {
	if !a.JSON {
		fmt.Fprintf(out, "version %d is agreed on\n", no)
	}
	for a.Wait {
		r, err := control.Call(context.Background(), a.Control, "GET", "fleet", nil)
		if err != nil {
			return err
		}
		for _, s := range r.Fleet.Manifest.Subjects {
			if s.Name == gateway.SubjectRoutes && s.InForce != nil && s.InForce.No >= no {
				fmt.Fprintf(out, "version %d is in force\n", s.InForce.No)
				return nil
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil
}

type restore struct {
	socket
	Version uint64 `arg:"" help:"Its number, as config history lists it."`
}

// Run asks for it.
func (x *restore) Run(out io.Writer) error {
	r, err := x.ask(out, "POST", "restore", &control.Request{Version: x.Version, Author: who()})
	if err == nil && !x.JSON {
		fmt.Fprintf(out, "version %d is agreed on, with the text of version %d\n", r.Generation, x.Version)
	}
	return err
}

type found struct{ socket }

// Run founds it.
func (f *found) Run(out io.Writer) error {
	_, err := f.ask(out, "POST", "found", nil)
	return err
}

// byName finds a gateway of the list, or one that was taken out, those first if ended.
func (s *socket) byName(name string, ended bool) (id agreement.ID, self agreement.ID, err error) {
	r, err := control.Call(context.Background(), s.Control, "GET", "fleet", nil)
	if err != nil {
		return 0, 0, err
	}
	all := slices.Concat(r.Fleet.Manifest.Gateways, r.Fleet.Manifest.Departed)
	if ended {
		all = slices.Concat(r.Fleet.Manifest.Departed, r.Fleet.Manifest.Gateways)
	}
	i := slices.IndexFunc(all, func(g agreement.Gateway) bool { return g.Name == name })
	if name != "" && i < 0 {
		return 0, 0, fmt.Errorf("the fleet's list has no gateway %q", name)
	}
	if name != "" {
		id = all[i].ID
	}
	return id, r.Fleet.Self, nil
}

type voters struct {
	socket
	Add    []string `help:"Names of gateways that are to vote; each has a folder in its block agreement."`
	Remove []string `help:"Names of gateways that are to vote no longer."`
}

// Run asks for it, one after the other.
func (v *voters) Run(out io.Writer) error {
	for _, x := range []struct {
		names []string
		on    bool
	}{{v.Add, true}, {v.Remove, false}} {
		for _, name := range x.names {
			id, _, err := v.byName(name, false)
			if err == nil {
				_, err = v.ask(out, "POST", "wish", &control.Request{FleetProposal: &agreement.Proposal{VoterChange: &agreement.VoterChange{ID: id, Enabled: x.on}}})
			}
			if err != nil {
				return err
			}
		}
	}
	return nil
}

type leave struct{ socket }

// Run takes this gateway out.
func (l *leave) Run(out io.Writer) error {
	_, self, err := l.byName("", false)
	if err == nil {
		_, err = l.ask(out, "POST", "wish", &control.Request{FleetProposal: &agreement.Proposal{Leave: self}})
	}
	return err
}

type evict struct {
	socket
	Gateway string `arg:"" help:"Its name in the list."`
	Ended   bool   `help:"Its process has ended for certain, so it serves nobody any more and nobody has to ask it."`
}

// Run takes it out.
func (e *evict) Run(out io.Writer) error {
	id, _, err := e.byName(e.Gateway, e.Ended)
	if err == nil {
		_, err = e.ask(out, "POST", "wish", &control.Request{FleetProposal: &agreement.Proposal{Leave: id, ProcessEnded: e.Ended}})
	}
	return err
}
