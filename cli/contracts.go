package cli

import (
	"bytes"
	"context"
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	tea "github.com/charmbracelet/bubbletea"

	"magpieglade/contracts"
	"magpieglade/gateway"
	"magpieglade/internal/contractfile"
	"magpieglade/internal/control"
	"magpieglade/rehearse"
	"magpieglade/rehearse/results"
)

type contractsOf struct {
	Check     contractsCheck     `cmd:"" help:"Say what is wrong with a file of contracts; nothing and status 0 if it is good."`
	Capacity  contractsCapacity  `cmd:"" help:"Say what members can do, and what is kept for those without a contract, by a file's block capacity."`
	Draft     contractsDraft     `cmd:"" help:"Write down the contracts of a file."`
	Amend     contractsAmend     `cmd:"" help:"Give contracts the terms of a file. One that is booked has to fit with them."`
	Quote     contractsQuote     `cmd:"" help:"Say that a contract can be booked as it is, until some time."`
	Book      contractsBook      `cmd:"" help:"Book a contract whose quote holds."`
	Cancel    contractsCancel    `cmd:"" help:"Cancel a contract."`
	List      contractsList      `cmd:"" help:"List contracts, and those that can't be kept as the fleet is."`
	Show      contractsShow      `cmd:"" help:"Show a contract."`
	History   contractsHistory   `cmd:"" help:"Show each version of a contract, with who and why."`
	Usage     contractsUsage     `cmd:"" help:"Tell of the windows that are open or were within a day, by contract: asked, served in time, late, declined and why."`
	Statement contractsStatement `cmd:"" help:"State what was kept of a contract in each of its windows, by interval, with its credit."`
	Rehearse  contractsRehearse  `cmd:"" help:"Play a contract's window on a virtual clock, with a flood by others and the promised loss, and say whether it would be kept."`
	Watch     contractsWatch     `cmd:"" help:"Go on showing live contracts, on a screen."`
	Calendar  contractsCalendar  `cmd:"" help:"Show by hour and group what can be done, is booked and is free."`
}

// wishing is a command that asks for something.
type wishing struct {
	socket
	Why string `help:"What it is for."`
}

func (w *wishing) wish(out io.Writer, what string, x contracts.Proposal) error {
	x.Author, x.Reason = who(), w.Why
	if _, err := w.ask(out, "POST", "contract", &control.Request{ContractProposal: &x}); err != nil {
		return err
	}
	if !w.JSON {
		fmt.Fprintln(out, what)
	}
	return nil
}

type contractsCheck struct {
	File string `arg:"" type:"existingfile" help:"The file." predictor:"file"`
}

// Run reads it.
func (c *contractsCheck) Run(io.Writer) error {
	_, err := contractfile.Read(c.File)
	return err
}

type contractsCapacity struct {
	wishing
	File string `arg:"" type:"existingfile" help:"The file." predictor:"file"`
}

// Run tells the fleet.
func (c *contractsCapacity) Run(out io.Writer) error {
	f, err := contractfile.Read(c.File)
	if err != nil {
		return err
	}
	if len(f.Sizes) == 0 && f.Floor == nil {
		return fmt.Errorf("%s has no block capacity", c.File)
	}
	return c.wish(out, "capacity is agreed on", contracts.Proposal{Sizes: f.Sizes, Floor: f.Floor})
}

type contractsDraft struct {
	wishing
	File string `arg:"" type:"existingfile" help:"The file." predictor:"file"`
}

// Run drafts each.
func (c *contractsDraft) Run(out io.Writer) error {
	return each(c.File, func(t *contracts.Terms) error {
		return c.wish(out, t.Name+" is drafted", contracts.Proposal{Draft: t})
	})
}

type contractsAmend struct {
	wishing
	File string `arg:"" type:"existingfile" help:"The file." predictor:"file"`
}

// Run amends each.
func (c *contractsAmend) Run(out io.Writer) error {
	return each(c.File, func(t *contracts.Terms) error {
		return c.wish(out, t.Name+" is amended", contracts.Proposal{Amend: t})
	})
}

func each(path string, do func(*contracts.Terms) error) error {
	f, err := contractfile.Read(path)
	if err != nil {
		return err
	}
	if len(f.Contracts) == 0 {
		return fmt.Errorf("%s has no block contract", path)
	}
	for i := range f.Contracts {
		if err := do(&f.Contracts[i]); err != nil {
			return err
		}
	}
	return nil
}

type contractsQuote struct {
	wishing
	Name  string        `arg:"" help:"The contract."`
	Valid time.Duration `default:"24h" help:"For how long it may be booked so."`
}

// Run quotes it.
func (c *contractsQuote) Run(out io.Writer) error {
	until := time.Now().Add(c.Valid)
	return c.wish(out, fmt.Sprintf("%s is quoted until %s", c.Name, until.UTC().Format("2006-01-02 15:04 UTC")), contracts.Proposal{Quote: c.Name, Until: until.UnixNano()})
}

type contractsBook struct {
	wishing
	Name string `arg:"" help:"The contract."`
}

// Run books it.
func (c *contractsBook) Run(out io.Writer) error {
	return c.wish(out, c.Name+" is booked", contracts.Proposal{Book: c.Name})
}

type contractsCancel struct {
	wishing
	Name string `arg:"" help:"The contract."`
}

// Run cancels it.
func (c *contractsCancel) Run(out io.Writer) error {
	return c.wish(out, c.Name+" is cancelled", contracts.Proposal{Cancel: c.Name})
}

type contractsList struct{ socket }

// Run lists them.
func (c *contractsList) Run(out io.Writer) error {
	r, err := c.ask(out, "GET", "contracts", nil)
	if err != nil || c.JSON {
		return err
	}
	return contractsTo(out, r.Contracts)
}

func contractsTo(out io.Writer, v *gateway.ContractsView) error {
	if len(v.Book.Contracts) == 0 {
		_, err := fmt.Fprintln(out, "there are no contracts")
		return err
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "no\tcontract\ttenant\tstate\twindow\treads/s\twrites/s\tin flight\tloss\tprice")
	for i := range v.Book.Contracts {
		c := &v.Book.Contracts[i]
		t, state := &c.Latest().Terms, string(c.Latest().State)
		phase, h := t.PhaseAt(v.Now)
		if c.Latest().State == contracts.Booked {
			state = string(phase)
		}
		window := "over"
		if phase != contracts.Ended {
			window = at(h.Start) + " for " + time.Duration(h.End-h.Start).String()
		}
		fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%s\t%g\t%g\t%d\t%s\t%s\n", c.No, t.Name, t.Tenant, state, window, t.Reads, t.Writes, t.InFlight, t.ToleratedLoss, t.Price)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, h := range v.Reservations {
		fmt.Fprintf(out, "held here now: %d in flight for %s (%s)\n", h.InFlight, h.Tenant, strings.Join(h.Names, ", "))
	}
	for _, r := range v.Book.UnmetContracts(v.Fleet, v.Now) {
		fmt.Fprintf(out, "at risk from %s: %s\n", at(r.Start), r.Reason)
	}
	return nil
}

func at(ns int64) string { return time.Unix(0, ns).UTC().Format("2006-01-02 15:04 UTC") }

type contractsShow struct {
	socket
	Name string `arg:"" help:"The contract."`
}

// Run shows it.
func (c *contractsShow) Run(out io.Writer) error {
	found, v, err := c.find(out, c.Name)
	if err != nil || c.JSON {
		return err
	}
	t := &found.Latest().Terms
	phase, _ := t.PhaseAt(v.Now)
	fmt.Fprintf(out, "contract %d, %s, of tenant %s: %s, %s\n", found.No, t.Name, t.Tenant, found.Latest().State, phase)
	fmt.Fprintf(out, "%g reads and %g writes a second at each of its groups, %d in flight at each gateway; reads to %d replicas in %d zones at the least\n", t.Reads, t.Writes, t.InFlight, t.MinReplicas, t.MinZones)
	fmt.Fprintf(out, "%g of its txns are promised in time, with a loss of %s; beyond its size: %s; price %s, credit %s\n", t.PromisedFraction, t.ToleratedLoss, t.ExcessPolicy, t.Price, t.Credit)
	for _, h := range t.ReservedWindows(v.Now, v.Now+int64(31*24*time.Hour)) {
		fmt.Fprintf(out, "  %s to %s, room held from %s to %s\n", at(h.Start), at(h.End), at(h.From), at(h.To))
	}
	return nil
}

func (s *socket) find(out io.Writer, name string) (*contracts.Contract, *gateway.ContractsView, error) {
	r, err := control.Call(context.Background(), s.Control, "GET", "contracts", nil)
	if err != nil {
		return nil, nil, err
	}
	c := r.Contracts.Book.Find(name)
	if c == nil {
		return nil, nil, fmt.Errorf("there is no contract %q", name)
	}
	return c, r.Contracts, s.json(out, c)
}

type contractsHistory struct {
	socket
	Name string `arg:"" help:"The contract."`
}

// Run shows it.
func (c *contractsHistory) Run(out io.Writer) error {
	found, _, err := c.find(out, c.Name)
	if err != nil || c.JSON {
		return err
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "when\tstate\twho\twhy\treads/s\twrites/s\tprice")
	for _, v := range found.Versions {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%g\t%g\t%s\n", at(v.At), v.State, v.Author, v.Reason, v.Terms.Reads, v.Terms.Writes, v.Terms.Price)
	}
	return table.Flush()
}

type contractsCalendar struct {
	socket
	From  string `help:"The first hour, as in 2026-06-14T20:00Z; without it the present one."`
	Hours int    `default:"24" help:"How many."`
	All   bool   `help:"Also hours in which nothing is booked."`
}

// Run shows it.
func (c *contractsCalendar) Run(out io.Writer) error {
	if c.Hours < 1 || c.Hours > 24*400 {
		return fmt.Errorf("from 1 to %d hours", 24*400)
	}
	r, err := control.Call(context.Background(), c.Control, "GET", "contracts", nil)
	if err != nil {
		return err
	}
	v := r.Contracts
	from := v.Now
	if c.From != "" {
		t, err := time.Parse("2006-01-02T15:04Z07:00", c.From)
		if err != nil {
			return fmt.Errorf("--from %q is no time; write it as 2026-06-14T20:00Z", c.From)
		}
		from = t.UnixNano()
	}
	all := contracts.NewCalendar(v.Book, v.Fleet, min(from, v.Now), 0).HourlyCapacities(from, c.Hours)
	if !c.All {
		all = slices.DeleteFunc(all, func(h contracts.HourlyCapacity) bool { return h.Booked[0]+h.Booked[1] == 0 })
	}
	if c.JSON {
		return c.json(out, all)
	}
	if len(all) == 0 {
		_, err := fmt.Fprintln(out, "nothing is booked then")
		return err
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "hour\tgroup\treads/s: can do\tbooked\tfree\twrites/s: can do\tbooked\tfree\t(with one member lost)")
	for _, h := range all {
		fmt.Fprintf(table, "%s\t%d\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\n", at(h.At), h.Group, h.Capacity[0], h.Booked[0], h.Free[0], h.Capacity[1], h.Booked[1], h.Free[1])
	}
	return table.Flush()
}

// stated asks a gateway for the statements of a contract.
func (s *socket) stated(name string, from, to time.Time) (control.Reply, error) {
	q := url.Values{"name": {name}, "from": {strconv.FormatInt(from.UnixNano(), 10)}, "to": {strconv.FormatInt(to.UnixNano(), 10)}}
	return control.Call(context.Background(), s.Control, "GET", "statement?"+q.Encode(), nil)
}

// alone warns where counts are one gateway's.
func alone(out io.Writer, whole bool) {
	if !whole {
		fmt.Fprintln(out, "counts of this gateway alone: one that votes knows those of all")
	}
}

type contractsUsage struct{ socket }

// Run tells of it.
func (c *contractsUsage) Run(out io.Writer) error {
	r, err := control.Call(context.Background(), c.Control, "GET", "contracts", nil)
	if err != nil {
		return err
	}
	var all []contracts.Statement
	whole := true
	for _, x := range r.Contracts.Book.BookedContracts() {
		s, err := c.stated(x.Latest().Terms.Name, time.Unix(0, r.Contracts.Now).Add(-24*time.Hour), time.Unix(0, r.Contracts.Now))
		if err != nil {
			return err
		}
		whole = s.Complete
		all = append(all, s.Statements...)
	}
	if c.JSON {
		return c.json(out, all)
	}
	if len(all) == 0 {
		_, err := fmt.Fprintln(out, "no window is open, or was within a day")
		return err
	}
	alone(out, whole)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "contract\twindow\tasked\tin time\tlate\tno room\tno member\tunagreed\trolled back\tleft\tcredit")
	for _, s := range all {
		x := &s.Total
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n", s.Name, at(s.Window.Start), x.Requested, x.InTime, x.Late, x.Overloaded, x.NoMember, x.NoAgreement, x.RolledBack, x.Abandoned, s.Credit)
	}
	return table.Flush()
}

type contractsStatement struct {
	socket
	Name string        `arg:"" help:"The contract."`
	Past time.Duration `default:"168h" help:"How far back windows are looked at."`
	CSV  bool          `name:"csv" help:"As CSV, a line for each interval."`
	HTML string        `name:"html" type:"path" placeholder:"FILE" help:"Write a page that needs nothing beside it."`
}

// Run states it.
func (c *contractsStatement) Run(out io.Writer) error {
	r, err := c.stated(c.Name, time.Now().Add(-c.Past), time.Now())
	if err != nil {
		return err
	}
	if c.JSON {
		return c.json(out, r.Statements)
	}
	if c.CSV {
		w := csv.NewWriter(out)
		_ = w.Write([]string{"contract", "window", "interval", "gateways", "size", "asked", "in_time", "late", "no_room", "no_member", "unagreed", "rolled_back", "left", "kept", "cause"})
		for _, s := range r.Statements {
			for _, l := range s.Lines {
				line := []string{s.Name, at(s.Window.Start), at(l.At), strconv.Itoa(l.Gateways), strconv.FormatFloat(l.Size, 'f', 0, 64)}
				for _, n := range []uint64{l.Requested, l.InTime, l.Late, l.Overloaded, l.NoMember, l.NoAgreement, l.RolledBack, l.Abandoned} {
					line = append(line, strconv.FormatUint(n, 10))
				}
				_ = w.Write(append(line, strconv.FormatFloat(l.ServedFraction, 'f', 4, 64), l.Cause))
			}
		}
		w.Flush()
		return w.Error()
	}
	if c.HTML != "" {
		var page bytes.Buffer
		if err := results.Statements(&page, c.Name, r.Statements, r.Complete); err != nil {
			return err
		}
		return os.WriteFile(c.HTML, page.Bytes(), 0o644)
	}
	alone(out, r.Complete)
	if len(r.Statements) == 0 {
		_, err := fmt.Fprintln(out, "it had no window then")
		return err
	}
	for _, s := range r.Statements {
		over := "is open yet"
		if s.Final {
			over = "is over"
		}
		fmt.Fprintf(out, "%s, contract %d, window of %s, %v, %s: price %s, credit %s\n", s.Name, s.No, at(s.Window.Start), time.Duration(s.Window.End-s.Window.Start), over, s.Price, s.Credit)
		table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
		fmt.Fprintln(table, "  interval\tgateways\tsize\tasked\tin time\tkept\tcause")
		for _, l := range s.Lines {
			fmt.Fprintf(table, "  %s\t%d\t%.0f\t%d\t%d\t%.4f\t%s\n", at(l.At), l.Gateways, l.Size, l.Requested, l.InTime, l.ServedFraction, l.Cause)
		}
		if err := table.Flush(); err != nil {
			return err
		}
	}
	return nil
}

type contractsWatch struct{ socket }

// Run shows them until it is ended.
func (c *contractsWatch) Run(out io.Writer) error {
	_, err := tea.NewProgram(contractScreen{socket: c.socket}, tea.WithOutput(out)).Run()
	return err
}

// contractScreen is a view of contracts as one gateway knows them, once a second.
type contractScreen struct {
	socket  socket
	view    *gateway.ContractsView
	live    []contracts.Statement
	whole   bool
	problem string
}

func (s contractScreen) look() tea.Msg {
	r, err := control.Call(context.Background(), s.socket.Control, "GET", "contracts", nil)
	if err != nil {
		s.problem = err.Error()
		return s
	}
	s.view, s.live, s.problem, s.whole = r.Contracts, nil, "", true
	for _, c := range s.view.Book.BookedContracts() {
		if phase, _ := c.Latest().Terms.PhaseAt(s.view.Now); phase != contracts.Active && phase != contracts.Cooling {
			continue
		}
		x, err := s.socket.stated(c.Latest().Terms.Name, time.Unix(0, s.view.Now), time.Unix(0, s.view.Now))
		if err != nil {
			s.problem = err.Error()
			continue
		}
		s.live, s.whole = append(s.live, x.Statements...), s.whole && x.Complete
	}
	return s
}

// Init is for bubbletea.
func (s contractScreen) Init() tea.Cmd { return s.look }

// Update is for bubbletea.
func (s contractScreen) Update(m tea.Msg) (tea.Model, tea.Cmd) {
	switch m := m.(type) {
	case contractScreen:
		return m, tea.Tick(time.Second, func(time.Time) tea.Msg { return m.look() })
	case tea.KeyMsg:
		if m.String() == "ctrl+c" || m.String() == "q" {
			return s, tea.Quit
		}
	}
	return s, nil
}

// View is for bubbletea: of each live contract what was kept in its latest interval, a bar of twenty is all of it.
func (s contractScreen) View() string {
	var b strings.Builder
	if s.problem != "" {
		fmt.Fprintf(&b, "! %s\n", s.problem)
	}
	if s.view != nil {
		alone(&b, s.whole)
		for _, x := range s.live {
			if len(x.Lines) == 0 {
				fmt.Fprintf(&b, "%-20s nothing asked yet\n", x.Name)
				continue
			}
			l := x.Lines[len(x.Lines)-1]
			fmt.Fprintf(&b, "%-20s [%-20s] %.4f kept of %d asked, %.0f is its size %s\n", x.Name, strings.Repeat("#", int(20*l.ServedFraction)), l.ServedFraction, l.Requested, l.Size, l.Cause)
		}
		if len(s.live) == 0 {
			b.WriteString("no window is open\n")
		}
		b.WriteString("\n")
		_ = contractsTo(&b, s.view)
	}
	b.WriteString("q ends\n")
	return b.String()
}

type contractsRehearse struct {
	File     string        `arg:"" type:"existingfile" help:"A file with the contract and a block capacity." predictor:"file"`
	Name     string        `arg:"" optional:"" help:"The contract; the first of the file without it."`
	Gateways int           `default:"5" help:"Gateways."`
	InFlight int           `default:"20" help:"Txns in flight at each gateway, as the settings have it."`
	Members  int           `default:"4" help:"Members of each group."`
	Zones    []string      `default:"a,b" help:"Zones."`
	Flood    float64       `default:"2" help:"Reads by others, in times of what all members do."`
	Through  int           `default:"0" help:"Gateways that the tenant's clients come through; 0 is all."`
	Length   time.Duration `default:"15s" help:"Of the day that is played."`
	Seed     uint64        `default:"1" help:"Of chance."`
	Largest  bool          `help:"Also look for the largest size that would be kept, up to four times."`
	JSON     bool          `name:"json" help:"As JSON."`
}

// Run plays it with room held and without, and says whether the promise would be kept; status 1 if not.
func (c *contractsRehearse) Run(out io.Writer) error {
	f, err := contractfile.Read(c.File)
	if err != nil {
		return err
	}
	i := slices.IndexFunc(f.Contracts, func(t contracts.Terms) bool { return c.Name == "" || t.Name == c.Name })
	if i < 0 {
		return fmt.Errorf("%s has no contract %q", c.File, c.Name)
	}
	if c.Gateways < 1 || c.InFlight < 1 || c.Members < 2 || len(c.Zones) == 0 || c.Flood < 0 || c.Length < time.Second {
		return fmt.Errorf("an event has a gateway, two members, a zone, and lasts a second at the least")
	}
	e := &rehearse.ContractRehearsal{Terms: f.Contracts[i], MemberSizes: f.Sizes, Members: c.Members, Zones: c.Zones, Gateways: c.Gateways, InFlight: c.InFlight, FloodFactor: c.Flood,
		TenantGateways: min(c.Through, c.Gateways), Duration: int64(c.Length), Seed: c.Seed}
	held, err := e.Run(1, true)
	if err != nil {
		return err
	}
	without, err := e.Run(1, false)
	if err != nil {
		return err
	}
	largest := -1.0
	if c.Largest {
		if largest, err = e.MaxSize(); err != nil {
			return err
		}
	}
	if c.JSON {
		if err := json.NewEncoder(out).Encode(map[string]any{"held": held, "without": without, "largest": largest}); err != nil {
			return err
		}
	} else {
		t := &e.Terms
		fmt.Fprintf(out, "%s: %g reads and %g writes a second at each group, others ask for %g times what members do, with a loss of %s\n", t.Name, t.Reads, t.Writes, c.Flood, t.ToleratedLoss)
		fmt.Fprintf(out, "with room held: %.3f of %d txns in time, others %.3f; %d broken rules\n", held.InTimeFraction, held.Requested, held.OthersInTimeFraction, held.Violations)
		fmt.Fprintf(out, "without:        %.3f of %d txns in time, others %.3f\n", without.InTimeFraction, without.Requested, without.OthersInTimeFraction)
		if largest >= 0 {
			fmt.Fprintf(out, "the largest that would be kept: %g times its size\n", largest)
		}
	}
	if !held.PromiseMet {
		return fmt.Errorf("%g of its txns in time are promised, and would not be kept; where members are crowded a smaller in_flight of the gateways helps", e.Terms.PromisedFraction)
	}
	return nil
}
