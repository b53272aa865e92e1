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

// fleetCommands holds the commands on the fleet's agreement and its members.
type fleetCommands struct {
	Status  fleetStatus    `cmd:"" help:"Show this gateway's lease, the voters and the versions in force."`
	Shares  fleetShares    `cmd:"" help:"Show the fleet-wide limits: the allocator of each, this gateway's allocation and, at the allocator, all grants."`
	Subsets fleetSubsets   `cmd:"" help:"Show which gateways have which members, and how evenly they are spread."`
	Turns   fleetTurns     `cmd:"" help:"Show the turns for work that one gateway does for all, and what other gateways report of members."`
	Found   fleetBootstrap `cmd:"" help:"Bootstrap a fleet with this gateway as its only voter: once in the fleet's life."`
	Voters  fleetVoters    `cmd:"" help:"Add or remove voters. A fleet has three, five or seven, spread over zones."`
	Leave   fleetLeave     `cmd:"" help:"Remove this gateway from the fleet's list, before it is shut down for good."`
	Evict   fleetEvict     `cmd:"" help:"Remove a gateway that will not come back from the fleet's list."`
}

// currentUser returns the user and host that histories show as the author of a change.
func currentUser() string {
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
	controlOptions
	Watch bool `help:"Show a live view."`
}

// Run prints the status, or shows it as a live view.
func (s *fleetStatus) Run(out io.Writer) error {
	if s.Watch {
		return s.watch(out)
	}
	r, err := s.request(out, "GET", "fleet?all", nil)
	if err != nil || s.JSON {
		return err
	}
	return printFleetStatus(out, r.Fleet)
}

// printFleetStatus prints the lease, the versions and the list of gateways as one gateway knows them.
func printFleetStatus(out io.Writer, status *fleet.Status) error {
	lease := "careful: its lease has run out"
	if status.LeaseRemaining > 0 {
		lease = fmt.Sprintf("may act for %v", time.Duration(status.LeaseRemaining).Round(10*time.Millisecond))
	}
	name := func(id agreement.ID) string {
		for _, g := range status.Manifest.Gateways {
			if g.ID == id {
				return g.Name
			}
		}
		return fmt.Sprintf("%x", uint64(id))
	}
	fmt.Fprintf(out, "%s %s; versions contradict each other for %v at most\n", name(status.Self), lease, time.Duration(status.MaxDivergence))
	if status.IsVoter {
		leader := "nobody it knows of"
		if status.Leader != 0 {
			leader = name(status.Leader)
		}
		fmt.Fprintf(out, "votes; %s leads, term %d\n", leader, status.Term)
	}
	for _, x := range status.Manifest.Subjects {
		fmt.Fprintf(out, "%s: %s", x.Name, formatVersion(x.InForce))
		switch {
		case x.Next != nil && x.Step > 0:
			where := "elsewhere"
			if x.InCanary(status.Self) {
				where = "here too"
			}
			fmt.Fprintf(out, ", step %d of 2 tries %s, %s", x.Step, formatVersion(x.Next), where)
		case x.Next != nil:
			fmt.Fprintf(out, ", next %s", formatVersion(x.Next))
		}
		fmt.Fprintln(out)
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "gateway\taddress\tzone\tbuild\tvotes\tlease\tholds\n")
	for _, g := range status.Manifest.Gateways {
		left, holds := "-", "-" // no voter has granted it a lease lately: its lease has expired, or it or its voter is unreachable
		if i := slices.IndexFunc(status.Leases, func(x agreement.GatewayLease) bool { return x.ID == g.ID }); i >= 0 {
			if x := status.Leases[i]; x.Remaining > 0 {
				left = fmt.Sprintf("%.1fs", float64(x.Remaining)/1e9)
			}
			if holds = "all"; status.Leases[i].KnownRevision < status.Manifest.Revision {
				holds = "an earlier state"
			}
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%v\t%s\t%s\n", g.Name, g.Address, cmp.Or(g.Zone, "-"), cmp.Or(g.Build, "-"), g.Vote, left, holds)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, g := range status.Manifest.Departed {
		fmt.Fprintf(out, "%s at %s was taken out and may serve clients yet: reads of sessions ask it too, until it says that it has ended or fleet evict %s --ended does\n", g.Name, g.Address, g.Name)
	}
	return nil
}

// formatVersion describes a version by number, digest and author.
func formatVersion(v *agreement.Version) string {
	if v == nil {
		return "none"
	}
	return fmt.Sprintf("version %d (%s) by %s", v.No, v.Digest, cmp.Or(v.Author, "-"))
}

// printVersions lists the versions in the history; a gateway that does not vote has none, and lists the version in force
// and the next one.
func printVersions(out io.Writer, status *fleet.Status, asJSON bool) error {
	var all []agreement.Version
	for _, x := range status.History {
		if x.Name == gateway.SubjectRoutes {
			all = append(all, x.Versions...)
		}
	}
	if len(all) == 0 {
		for _, x := range status.Manifest.Subjects {
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
		conflicts := cmp.Or(strings.Join(v.Conflicts, "; "), "no")
		if v.AbortReason != "" {
			conflicts += "; dropped: " + v.AbortReason
		}
		fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%s\t%s\n", v.No, v.Digest, v.Author, time.Unix(0, v.ProposedAt).UTC().Format(time.DateTime), cmp.Or(v.Reason, "-"), conflicts)
	}
	return table.Flush()
}

// waitInForce waits until a version is in force at this gateway if --wait is set.
func (a *configApply) waitInForce(out io.Writer, no uint64) error {
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

type configRestore struct {
	controlOptions
	Version uint64 `arg:"" help:"The version's number, as config history lists it."`
}

// Run proposes the text of the earlier version.
func (x *configRestore) Run(out io.Writer) error {
	r, err := x.request(out, "POST", "restore", &control.Request{Version: x.Version, Author: currentUser()})
	if err == nil && !x.JSON {
		fmt.Fprintf(out, "version %d is agreed on, with the text of version %d\n", r.Generation, x.Version)
	}
	return err
}

type fleetBootstrap struct{ controlOptions }

// Run bootstraps the fleet.
func (f *fleetBootstrap) Run(out io.Writer) error {
	_, err := f.request(out, "POST", "found", nil)
	return err
}

// findGateway returns the ID of the gateway with this name, 0 for an empty name, and the ID of the gateway asked. It
// searches the list and the departed gateways, the latter first if departedFirst is set.
func (s *controlOptions) findGateway(name string, departedFirst bool) (id agreement.ID, self agreement.ID, err error) {
	r, err := control.Call(context.Background(), s.Control, "GET", "fleet", nil)
	if err != nil {
		return 0, 0, err
	}
	all := slices.Concat(r.Fleet.Manifest.Gateways, r.Fleet.Manifest.Departed)
	if departedFirst {
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

type fleetVoters struct {
	controlOptions
	Add    []string `help:"Names of gateways to make voters; each needs a folder in its agreement block."`
	Remove []string `help:"Names of gateways that stop voting."`
}

// Run proposes the changes one after the other.
func (v *fleetVoters) Run(out io.Writer) error {
	for _, x := range []struct {
		names []string
		on    bool
	}{{v.Add, true}, {v.Remove, false}} {
		for _, name := range x.names {
			id, _, err := v.findGateway(name, false)
			if err == nil {
				_, err = v.request(out, "POST", "wish", &control.Request{FleetProposal: &agreement.Proposal{VoterChange: &agreement.VoterChange{ID: id, Enabled: x.on}}})
			}
			if err != nil {
				return err
			}
		}
	}
	return nil
}

type fleetLeave struct{ controlOptions }

// Run proposes the removal of this gateway.
func (l *fleetLeave) Run(out io.Writer) error {
	_, self, err := l.findGateway("", false)
	if err == nil {
		_, err = l.request(out, "POST", "wish", &control.Request{FleetProposal: &agreement.Proposal{Leave: self}})
	}
	return err
}

type fleetEvict struct {
	controlOptions
	Gateway string `arg:"" help:"The gateway's name in the list."`
	Ended   bool   `help:"Its process has certainly ended: it serves no clients, and no gateway needs to query it."`
}

// Run proposes the removal of the gateway.
func (e *fleetEvict) Run(out io.Writer) error {
	id, _, err := e.findGateway(e.Gateway, e.Ended)
	if err == nil {
		_, err = e.request(out, "POST", "wish", &control.Request{FleetProposal: &agreement.Proposal{Leave: id, ProcessEnded: e.Ended}})
	}
	return err
}
