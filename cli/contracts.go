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

// contractsCommands holds the commands on tenants' contracts.
type contractsCommands struct {
	Check     contractsCheck     `cmd:"" help:"Validate a file of contracts; prints nothing and exits with status 0 if it is valid."`
	Capacity  contractsCapacity  `cmd:"" help:"Set the capacity of members, and what is reserved for tenants without a contract, from a file's capacity block."`
	Draft     contractsDraft     `cmd:"" help:"Create the contracts of a file as drafts."`
	Amend     contractsAmend     `cmd:"" help:"Replace the terms of contracts with those of a file. A booked contract must still fit the capacity."`
	Quote     contractsQuote     `cmd:"" help:"Quote a contract: it can be booked on its present terms until the quote expires."`
	Book      contractsBook      `cmd:"" help:"Book a contract with a valid quote."`
	Cancel    contractsCancel    `cmd:"" help:"Cancel a contract."`
	List      contractsList      `cmd:"" help:"List contracts, and those that the fleet's present capacity can't meet."`
	Show      contractsShow      `cmd:"" help:"Show a contract."`
	History   contractsHistory   `cmd:"" help:"Show each version of a contract, with its author and reason."`
	Usage     contractsUsage     `cmd:"" help:"Show the windows that are open or were within the last day, by contract: requested, served in time, late, declined by reason."`
	Statement contractsStatement `cmd:"" help:"Show how far a contract was met in each of its windows, by interval, with its credit."`
	Rehearse  contractsRehearse  `cmd:"" help:"Simulate a contract's window on a virtual clock, with overload by other tenants and the tolerated loss of members, and report whether it would be met."`
	Watch     contractsWatch     `cmd:"" help:"Show a live view of active contracts."`
	Calendar  contractsCalendar  `cmd:"" help:"Show capacity, booked and free load by hour and group."`
}

// proposalCommand holds the flags of the commands that propose a change of the fleet's contracts.
type proposalCommand struct {
	controlOptions
	Why string `help:"The reason, recorded with the change."`
}

// propose sends a proposal with its author and reason, and prints message once the fleet has agreed on it.
func (w *proposalCommand) propose(out io.Writer, message string, x contracts.Proposal) error {
	x.Author, x.Reason = currentUser(), w.Why
	if _, err := w.request(out, "POST", "contract", &control.Request{ContractProposal: &x}); err != nil {
		return err
	}
	if !w.JSON {
		fmt.Fprintln(out, message)
	}
	return nil
}

type contractsCheck struct {
	File string `arg:"" type:"existingfile" help:"The file." predictor:"file"`
}

// Run validates the file.
func (c *contractsCheck) Run(io.Writer) error {
	_, err := contractfile.Read(c.File)
	return err
}

type contractsCapacity struct {
	proposalCommand
	File string `arg:"" type:"existingfile" help:"The file." predictor:"file"`
}

// Run proposes the capacity block of the file.
func (c *contractsCapacity) Run(out io.Writer) error {
	f, err := contractfile.Read(c.File)
	if err != nil {
		return err
	}
	if len(f.Sizes) == 0 && f.Floor == nil {
		return fmt.Errorf("%s has no capacity block", c.File)
	}
	return c.propose(out, "capacity is agreed on", contracts.Proposal{Sizes: f.Sizes, Floor: f.Floor})
}

type contractsDraft struct {
	proposalCommand
	File string `arg:"" type:"existingfile" help:"The file." predictor:"file"`
}

// Run drafts each contract of the file.
func (c *contractsDraft) Run(out io.Writer) error {
	return forEachContract(c.File, func(t *contracts.Terms) error {
		return c.propose(out, t.Name+" is drafted", contracts.Proposal{Draft: t})
	})
}

type contractsAmend struct {
	proposalCommand
	File string `arg:"" type:"existingfile" help:"The file." predictor:"file"`
}

// Run amends each contract of the file.
func (c *contractsAmend) Run(out io.Writer) error {
	return forEachContract(c.File, func(t *contracts.Terms) error {
		return c.propose(out, t.Name+" is amended", contracts.Proposal{Amend: t})
	})
}

// forEachContract calls propose with the terms of each contract of a file, until one fails.
func forEachContract(path string, propose func(*contracts.Terms) error) error {
	f, err := contractfile.Read(path)
	if err != nil {
		return err
	}
	if len(f.Contracts) == 0 {
		return fmt.Errorf("%s has no contract block", path)
	}
	for i := range f.Contracts {
		if err := propose(&f.Contracts[i]); err != nil {
			return err
		}
	}
	return nil
}

type contractsQuote struct {
	proposalCommand
	Name  string        `arg:"" help:"The contract."`
	Valid time.Duration `default:"24h" help:"How long the quote is valid."`
}

// Run quotes the contract.
func (c *contractsQuote) Run(out io.Writer) error {
	until := time.Now().Add(c.Valid)
	return c.propose(out, fmt.Sprintf("%s is quoted until %s", c.Name, until.UTC().Format("2006-01-02 15:04 UTC")), contracts.Proposal{Quote: c.Name, Until: until.UnixNano()})
}

type contractsBook struct {
	proposalCommand
	Name string `arg:"" help:"The contract."`
}

// Run books the contract.
func (c *contractsBook) Run(out io.Writer) error {
	return c.propose(out, c.Name+" is booked", contracts.Proposal{Book: c.Name})
}

type contractsCancel struct {
	proposalCommand
	Name string `arg:"" help:"The contract."`
}

// Run cancels the contract.
func (c *contractsCancel) Run(out io.Writer) error {
	return c.propose(out, c.Name+" is cancelled", contracts.Proposal{Cancel: c.Name})
}

type contractsList struct{ controlOptions }

// Run lists the contracts.
func (c *contractsList) Run(out io.Writer) error {
	reply, err := c.request(out, "GET", "contracts", nil)
	if err != nil || c.JSON {
		return err
	}
	return printContracts(out, reply.Contracts)
}

// printContracts prints the contracts, the reservations that this gateway holds now and the contracts that can't be met.
func printContracts(out io.Writer, v *gateway.ContractsView) error {
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
			window = formatTime(h.Start) + " for " + time.Duration(h.End-h.Start).String()
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
		fmt.Fprintf(out, "at risk from %s: %s\n", formatTime(r.Start), r.Reason)
	}
	return nil
}

func formatTime(ns int64) string { return time.Unix(0, ns).UTC().Format("2006-01-02 15:04 UTC") }

type contractsShow struct {
	controlOptions
	Name string `arg:"" help:"The contract."`
}

// Run prints the contract's terms and its reserved windows of the next 31 days.
func (c *contractsShow) Run(out io.Writer) error {
	found, v, err := c.findContract(out, c.Name)
	if err != nil || c.JSON {
		return err
	}
	t := &found.Latest().Terms
	phase, _ := t.PhaseAt(v.Now)
	fmt.Fprintf(out, "contract %d, %s, of tenant %s: %s, %s\n", found.No, t.Name, t.Tenant, found.Latest().State, phase)
	fmt.Fprintf(out, "%g reads and %g writes a second at each of its groups, %d in flight at each gateway; reads to %d replicas in %d zones at the least\n", t.Reads, t.Writes, t.InFlight, t.MinReplicas, t.MinZones)
	fmt.Fprintf(out, "%g of its txns are promised in time, with a loss of %s; beyond its size: %s; price %s, credit %s\n", t.PromisedFraction, t.ToleratedLoss, t.ExcessPolicy, t.Price, t.Credit)
	for _, h := range t.ReservedWindows(v.Now, v.Now+int64(31*24*time.Hour)) {
		fmt.Fprintf(out, "  %s to %s, room held from %s to %s\n", formatTime(h.Start), formatTime(h.End), formatTime(h.From), formatTime(h.To))
	}
	return nil
}

// findContract returns the contract with this name and, with --json, prints it.
func (s *controlOptions) findContract(out io.Writer, name string) (*contracts.Contract, *gateway.ContractsView, error) {
	r, err := control.Call(context.Background(), s.Control, "GET", "contracts", nil)
	if err != nil {
		return nil, nil, err
	}
	c := r.Contracts.Book.Find(name)
	if c == nil {
		return nil, nil, fmt.Errorf("there is no contract %q", name)
	}
	return c, r.Contracts, s.printJSON(out, c)
}

type contractsHistory struct {
	controlOptions
	Name string `arg:"" help:"The contract."`
}

// Run prints the versions of the contract.
func (c *contractsHistory) Run(out io.Writer) error {
	found, _, err := c.findContract(out, c.Name)
	if err != nil || c.JSON {
		return err
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "when\tstate\twho\twhy\treads/s\twrites/s\tprice")
	for _, v := range found.Versions {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%g\t%g\t%s\n", formatTime(v.At), v.State, v.Author, v.Reason, v.Terms.Reads, v.Terms.Writes, v.Terms.Price)
	}
	return table.Flush()
}

type contractsCalendar struct {
	controlOptions
	From  string `help:"The first hour, as in 2026-06-14T20:00Z; the default is the current one."`
	Hours int    `default:"24" help:"Number of hours."`
	All   bool   `help:"Include hours in which nothing is booked."`
}

// Run prints the capacity of each hour and group.
func (c *contractsCalendar) Run(out io.Writer) error {
	if c.Hours < 1 || c.Hours > 24*400 {
		return fmt.Errorf("--hours must be from 1 to %d", 24*400)
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
			return fmt.Errorf("--from %q is not a valid time; the format is 2026-06-14T20:00Z", c.From)
		}
		from = t.UnixNano()
	}
	all := contracts.NewCalendar(v.Book, v.Fleet, min(from, v.Now), 0).HourlyCapacities(from, c.Hours)
	if !c.All {
		all = slices.DeleteFunc(all, func(h contracts.HourlyCapacity) bool { return h.Booked[0]+h.Booked[1] == 0 })
	}
	if c.JSON {
		return c.printJSON(out, all)
	}
	if len(all) == 0 {
		_, err := fmt.Fprintln(out, "nothing is booked then")
		return err
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "hour\tgroup\treads/s: can do\tbooked\tfree\twrites/s: can do\tbooked\tfree\t(with one member lost)")
	for _, h := range all {
		fmt.Fprintf(table, "%s\t%d\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\n", formatTime(h.At), h.Group, h.Capacity[0], h.Booked[0], h.Free[0], h.Capacity[1], h.Booked[1], h.Free[1])
	}
	return table.Flush()
}

// requestStatements requests the statements of a contract's windows between two times.
func (s *controlOptions) requestStatements(name string, from, to time.Time) (control.Reply, error) {
	q := url.Values{"name": {name}, "from": {strconv.FormatInt(from.UnixNano(), 10)}, "to": {strconv.FormatInt(to.UnixNano(), 10)}}
	return control.Call(context.Background(), s.Control, "GET", "statement?"+q.Encode(), nil)
}

// warnIfSingleGateway prints a warning if the counts are those of one gateway: only voters know the counts of all.
func warnIfSingleGateway(out io.Writer, allGateways bool) {
	if !allGateways {
		fmt.Fprintln(out, "counts of this gateway alone: a voter has the counts of all gateways")
	}
}

type contractsUsage struct{ controlOptions }

// Run prints the counts of all windows that are open or were within the last day.
func (c *contractsUsage) Run(out io.Writer) error {
	r, err := control.Call(context.Background(), c.Control, "GET", "contracts", nil)
	if err != nil {
		return err
	}
	var all []contracts.Statement
	allGateways := true
	for _, x := range r.Contracts.Book.BookedContracts() {
		s, err := c.requestStatements(x.Latest().Terms.Name, time.Unix(0, r.Contracts.Now).Add(-24*time.Hour), time.Unix(0, r.Contracts.Now))
		if err != nil {
			return err
		}
		allGateways = s.Complete
		all = append(all, s.Statements...)
	}
	if c.JSON {
		return c.printJSON(out, all)
	}
	if len(all) == 0 {
		_, err := fmt.Fprintln(out, "no window is open or was within the last day")
		return err
	}
	warnIfSingleGateway(out, allGateways)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "contract\twindow\tasked\tin time\tlate\tno room\tno member\tunagreed\trolled back\tleft\tcredit")
	for _, s := range all {
		x := &s.Total
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n", s.Name, formatTime(s.Window.Start), x.Requested, x.InTime, x.Late, x.Overloaded, x.NoMember, x.NoAgreement, x.RolledBack, x.Abandoned, s.Credit)
	}
	return table.Flush()
}

type contractsStatement struct {
	controlOptions
	Name   string        `arg:"" help:"The contract."`
	MaxAge time.Duration `default:"168h" help:"Maximum age of the windows shown." name:"past"`
	CSV    bool          `name:"csv" help:"As CSV, one line for each interval."`
	HTML   string        `name:"html" type:"path" placeholder:"FILE" help:"Write a self-contained HTML page."`
}

// Run prints the statements as text, JSON or CSV, or writes them as a page.
func (c *contractsStatement) Run(out io.Writer) error {
	r, err := c.requestStatements(c.Name, time.Now().Add(-c.MaxAge), time.Now())
	if err != nil {
		return err
	}
	if c.JSON {
		return c.printJSON(out, r.Statements)
	}
	if c.CSV {
		w := csv.NewWriter(out)
		_ = w.Write([]string{"contract", "window", "interval", "gateways", "size", "asked", "in_time", "late", "no_room", "no_member", "unagreed", "rolled_back", "left", "kept", "cause"})
		for _, s := range r.Statements {
			for _, l := range s.Lines {
				line := []string{s.Name, formatTime(s.Window.Start), formatTime(l.At), strconv.Itoa(l.Gateways), strconv.FormatFloat(l.Size, 'f', 0, 64)}
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
	warnIfSingleGateway(out, r.Complete)
	if len(r.Statements) == 0 {
		_, err := fmt.Fprintln(out, "the contract had no window in this period")
		return err
	}
	for _, s := range r.Statements {
		over := "is still open"
		if s.Final {
			over = "is over"
		}
		fmt.Fprintf(out, "%s, contract %d, window of %s, %v, %s: price %s, credit %s\n", s.Name, s.No, formatTime(s.Window.Start), time.Duration(s.Window.End-s.Window.Start), over, s.Price, s.Credit)
		table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
		fmt.Fprintln(table, "  interval\tgateways\tsize\tasked\tin time\tkept\tcause")
		for _, l := range s.Lines {
			fmt.Fprintf(table, "  %s\t%d\t%.0f\t%d\t%d\t%.4f\t%s\n", formatTime(l.At), l.Gateways, l.Size, l.Requested, l.InTime, l.ServedFraction, l.Cause)
		}
		if err := table.Flush(); err != nil {
			return err
		}
	}
	return nil
}

type contractsWatch struct{ controlOptions }

// Run shows the live view until the user ends it.
func (c *contractsWatch) Run(out io.Writer) error {
	_, err := tea.NewProgram(contractScreen{options: c.controlOptions}, tea.WithOutput(out)).Run()
	return err
}

// contractScreen is a live view of the contracts as one gateway knows them, refreshed once a second.
type contractScreen struct {
	options     controlOptions
	view        *gateway.ContractsView
	statements  []contracts.Statement
	allGateways bool
	problem     string
}

// fetch requests the contracts and the statements of those that are active or cooling.
func (s contractScreen) fetch() tea.Msg {
	r, err := control.Call(context.Background(), s.options.Control, "GET", "contracts", nil)
	if err != nil {
		s.problem = err.Error()
		return s
	}
	s.view, s.statements, s.problem, s.allGateways = r.Contracts, nil, "", true
	for _, c := range s.view.Book.BookedContracts() {
		if phase, _ := c.Latest().Terms.PhaseAt(s.view.Now); phase != contracts.Active && phase != contracts.Cooling {
			continue
		}
		x, err := s.options.requestStatements(c.Latest().Terms.Name, time.Unix(0, s.view.Now), time.Unix(0, s.view.Now))
		if err != nil {
			s.problem = err.Error()
			continue
		}
		s.statements, s.allGateways = append(s.statements, x.Statements...), s.allGateways && x.Complete
	}
	return s
}

// Init implements tea.Model.
func (s contractScreen) Init() tea.Cmd { return s.fetch }

// Update implements tea.Model.
func (s contractScreen) Update(m tea.Msg) (tea.Model, tea.Cmd) {
	switch m := m.(type) {
	case contractScreen:
		return m, tea.Tick(time.Second, func(time.Time) tea.Msg { return m.fetch() })
	case tea.KeyMsg:
		if m.String() == "ctrl+c" || m.String() == "q" {
			return s, tea.Quit
		}
	}
	return s, nil
}

// View implements tea.Model. For each active contract it shows the fraction served in the latest interval; a full bar of
// 20 characters is all of it.
func (s contractScreen) View() string {
	var b strings.Builder
	if s.problem != "" {
		fmt.Fprintf(&b, "! %s\n", s.problem)
	}
	if s.view != nil {
		warnIfSingleGateway(&b, s.allGateways)
		for _, x := range s.statements {
			if len(x.Lines) == 0 {
				fmt.Fprintf(&b, "%-20s no requests yet\n", x.Name)
				continue
			}
			latest := x.Lines[len(x.Lines)-1]
			fmt.Fprintf(&b, "%-20s [%-20s] %.4f kept of %d asked, %.0f is its size %s\n", x.Name, strings.Repeat("#", int(20*latest.ServedFraction)), latest.ServedFraction, latest.Requested, latest.Size, latest.Cause)
		}
		if len(s.statements) == 0 {
			b.WriteString("no window is open\n")
		}
		b.WriteString("\n")
		_ = printContracts(&b, s.view)
	}
	b.WriteString("q ends\n")
	return b.String()
}

type contractsRehearse struct {
	File           string        `arg:"" type:"existingfile" help:"A file with the contract and a capacity block." predictor:"file"`
	Name           string        `arg:"" optional:"" help:"The contract; the default is the first of the file."`
	Gateways       int           `default:"5" help:"Number of gateways."`
	InFlight       int           `default:"20" help:"In-flight limit of each gateway, as in its settings."`
	Members        int           `default:"4" help:"Number of members in each group."`
	Zones          []string      `default:"a,b" help:"Zones."`
	FloodFactor    float64       `default:"2" name:"flood" help:"Reads of other tenants, as a multiple of the capacity of all members."`
	TenantGateways int           `default:"0" name:"through" help:"Number of gateways that the tenant's clients connect to; 0 is all."`
	Duration       time.Duration `default:"15s" name:"length" help:"Length of the simulated run."`
	Seed           uint64        `default:"1" help:"Seed of the random numbers."`
	FindMaxSize    bool          `name:"largest" help:"Also search for the largest multiple of the contract's size that would be met, up to 4."`
	JSON           bool          `name:"json" help:"As JSON."`
}

// Run simulates the window with and without reserved capacity, and reports whether the contract would be met; status 1 if not.
func (c *contractsRehearse) Run(out io.Writer) error {
	f, err := contractfile.Read(c.File)
	if err != nil {
		return err
	}
	i := slices.IndexFunc(f.Contracts, func(t contracts.Terms) bool { return c.Name == "" || t.Name == c.Name })
	if i < 0 {
		return fmt.Errorf("%s has no contract %q", c.File, c.Name)
	}
	if c.Gateways < 1 || c.InFlight < 1 || c.Members < 2 || len(c.Zones) == 0 || c.FloodFactor < 0 || c.Duration < time.Second {
		return fmt.Errorf("a rehearsal needs at least one gateway with an in-flight limit of 1, two members, one zone, a flood of 0 or more and a length of 1s")
	}
	rehearsal := &rehearse.ContractRehearsal{Terms: f.Contracts[i], MemberSizes: f.Sizes, Members: c.Members, Zones: c.Zones, Gateways: c.Gateways, InFlight: c.InFlight, FloodFactor: c.FloodFactor,
		TenantGateways: min(c.TenantGateways, c.Gateways), Duration: int64(c.Duration), Seed: c.Seed}
	withReservation, err := rehearsal.Run(1, true)
	if err != nil {
		return err
	}
	withoutReservation, err := rehearsal.Run(1, false)
	if err != nil {
		return err
	}
	maxSize := -1.0
	if c.FindMaxSize {
		if maxSize, err = rehearsal.MaxSize(); err != nil {
			return err
		}
	}
	if c.JSON {
		if err := json.NewEncoder(out).Encode(map[string]any{"held": withReservation, "without": withoutReservation, "largest": maxSize}); err != nil {
			return err
		}
	} else {
		t := &rehearsal.Terms
		fmt.Fprintf(out, "%s: %g reads and %g writes a second at each group, others ask for %g times what members do, with a loss of %s\n", t.Name, t.Reads, t.Writes, c.FloodFactor, t.ToleratedLoss)
		fmt.Fprintf(out, "with room held: %.3f of %d txns in time, others %.3f; %d broken rules\n", withReservation.InTimeFraction, withReservation.Requested, withReservation.OthersInTimeFraction, withReservation.Violations)
		fmt.Fprintf(out, "without:        %.3f of %d txns in time, others %.3f\n", withoutReservation.InTimeFraction, withoutReservation.Requested, withoutReservation.OthersInTimeFraction)
		if maxSize >= 0 {
			fmt.Fprintf(out, "the largest that would be kept: %g times its size\n", maxSize)
		}
	}
	if !withReservation.PromiseMet {
		return fmt.Errorf("the promised fraction in time, %g, would not be met; where members are overloaded a smaller in_flight of the gateways helps", rehearsal.Terms.PromisedFraction)
	}
	return nil
}
