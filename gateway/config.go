package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"time"

	"magpieglade/fleet"
	"magpieglade/internal/httpwire"
	"magpieglade/internal/neterr"
	"magpieglade/routes"
)

// Config is what the platform tells a gateway.
type Config struct {
	Name      string         `json:"name"`
	Listen    netip.AddrPort `json:"listen"`
	Discovery netip.AddrPort `json:"discovery"`
	Seed      string         `json:"seed"` // hexadecimal
	Limits    struct {
		MemoryMB int `json:"memory_mb"`
		Sockets  int `json:"sockets"`
	} `json:"limits"`
	KnownHosts *httpwire.List  `json:"known"`    // the list as last held
	Settings   json.RawMessage `json:"settings"` // what the module reads, and a few names that the sockets need

	// What the operator's own file says, see deploy/; the platform does not know it.
	Log          *slog.Logger                                `json:"-"` // nil is the default
	Sessions     *fleet.SessionConfig                        `json:"-"`
	Change       *Change                                     `json:"-"` // applied at the start, and kept at once unless another was kept before
	Changes      *ChangeStore                                `json:"-"` // nil where changes do not outlive the process
	Agreement    *fleet.Config                               `json:"-"` // nil where gateways agree on nothing
	Coordination *fleet.CoordinationConfig                   `json:"-"` // what many gateways choose together; nil where each does for itself
	Parse        func(text []byte) (*routes.Document, error) `json:"-"` // of a version that was agreed on
	Elapsed      func() time.Duration                        `json:"-"` // since some moment, never back; nil is the system's clock
	Network      Network                                     `json:"-"` // nil is the operating system's
	ClockError   time.Duration                               `json:"-"` // how far the clocks of machines may differ; positions up to this far ahead are believed
}

// FromEnvironment reads the file that EDGE_CONFIG names; of the other EDGE variables EDGE_DISCOVERY stands for what the file
// lacks, the others go before what it says. Both are the same when a process is started: where they differ the file was
// written anew since, and the signal to read it may have come before the process could handle one.
func FromEnvironment() (Config, error) { return fromEnvironment(true) }

// FromFile reads the file again, for Reload: EDGE_DISCOVERY is of the time of the start, and the file goes
// before it.
func FromFile() (Config, error) { return fromEnvironment(false) }

func fromEnvironment(atStart bool) (c Config, err error) {
	path := os.Getenv("EDGE_CONFIG")
	if path == "" {
		return c, errors.New("EDGE_CONFIG is not set")
	}
	text, err := readFile(path)
	if err != nil {
		return c, fmt.Errorf("EDGE_CONFIG: %w", err)
	}
	if err := json.Unmarshal(text, &c); err != nil {
		return c, fmt.Errorf("EDGE_CONFIG: %w", err)
	}
	if name := os.Getenv("EDGE_NAME"); name != "" {
		c.Name = name
	}
	for _, v := range [...]struct {
		name  string
		to    *netip.AddrPort
		reads bool
	}{{"EDGE_LISTEN", &c.Listen, true}, {"EDGE_DISCOVERY", &c.Discovery, atStart && !c.Discovery.IsValid()}} {
		if text := os.Getenv(v.name); text != "" && v.reads {
			if *v.to, err = netip.ParseAddrPort(text); err != nil {
				return c, fmt.Errorf("%s: %w", v.name, err)
			}
		}
	}
	return c, nil
}

// readFile reads a whole file, again while that fails for want of something of this machine.
func readFile(path string) (text []byte, err error) {
	failed := false
	err = neterr.Retry(startPatience, func() (err error) {
		text, err = os.ReadFile(path)
		if err != nil && neterr.IsLocal(err) && !failed {
			failed = true
			slog.Warn("the configuration can't be read, trying again", "why", err)
		}
		return err
	})
	return text, err
}

// names is what the sockets need of the settings: names that stand for the module's numbers.
type platformSettings struct {
	Classes []struct {
		Name      string
		HardLimit float64 `json:"hardLimitMs"`
		Effect    string
		Window    float64 `json:"windowMs"`
		PromiseMs float64
		Worth     float64
		LateValue float64
	}
	FamilyInfo struct {
		Consistency []string
		WhenBehind  string
	}
	Limits struct {
		ConnectTimeoutMs, KeepaliveMs float64
		RetryAfter, Probes            bool
	}
	LoadReport struct {
		Fields []string
		How    string
	}
	MachineTypes, Zones []string
}

// check names the first value that is lacking or wrong.
func (c *Config) validate() (seed uint64, n platformSettings, err error) {
	invalid := func(name string) (uint64, platformSettings, error) {
		return 0, n, fmt.Errorf("configuration: %s is lacking or out of range", name)
	}
	if !c.Listen.IsValid() || !c.Listen.Addr().Is4() {
		return invalid("listen")
	}
	if !c.Discovery.IsValid() || c.Discovery.Port() == 0 {
		return invalid("discovery")
	}
	if seed, err = strconv.ParseUint(c.Seed, 16, 64); err != nil {
		return invalid("seed")
	}
	if c.Limits.MemoryMB < 32 {
		return invalid("limits.memory_mb")
	}
	if c.Limits.Sockets < 2*reserve {
		return invalid("limits.sockets")
	}
	if len(c.Settings) == 0 {
		return invalid("settings")
	}
	if err := json.Unmarshal(c.Settings, &n); err != nil {
		return 0, n, fmt.Errorf("configuration: settings: %w", err)
	}
	if n.Limits.ConnectTimeoutMs <= 0 {
		return invalid("settings.limits.connectTimeoutMs")
	}
	if n.Limits.KeepaliveMs <= 0 {
		return invalid("settings.limits.keepaliveMs")
	}
	if len(n.FamilyInfo.Consistency) != len(n.Classes) {
		return invalid("settings.familyInfo.consistency")
	}
	if c.Coordination != nil {
		if c.Agreement == nil {
			return 0, n, errors.New("configuration: coordination needs an agreement on the list of gateways")
		}
		if err := c.Coordination.Validate(); err != nil {
			return 0, n, fmt.Errorf("configuration: %w", err)
		}
	}
	if c.ClockError < 0 {
		return invalid("clock_error")
	}
	if c.Sessions != nil {
		if c.Sessions.Session.DynamicMembership = c.Agreement != nil; c.Agreement != nil {
			c.Sessions.Keys = nil // one address, one set of keys
			for _, k := range c.Agreement.Keys {
				c.Sessions.Keys = append(c.Sessions.Keys, fleet.PeerKey{ID: k.ID, Secret: k.Secret})
			}
		}
		if err := c.Sessions.Validate(n.LoadReport.How != "none" && slices.Contains(n.LoadReport.Fields, "x0") && n.Limits.Probes); err != nil {
			return 0, n, fmt.Errorf("configuration: %w", err)
		}
	}
	if c.Agreement == nil && c.Change != nil && c.Change.Document.RequiredFormat() > 1 {
		return 0, n, errors.New("configuration: a tenant's bounds are of the fleet (fleet = true), which needs the block agreement")
	}
	if c.Agreement != nil {
		err := c.Agreement.Validate()
		if err == nil && (c.Parse == nil || c.Changes != nil) {
			err = errors.New("agreement: it needs a parser, and stands for Changes")
		}
		if err == nil && c.Sessions != nil && c.Sessions.Listen.IsValid() && c.Sessions.Listen != c.Agreement.Listen {
			err = errors.New("agreement: sessions listen at another address")
		}
		if err != nil {
			return 0, n, fmt.Errorf("configuration: %w", err)
		}
	}
	return seed, n, nil
}

// forModule gives the settings with positions counted from the clock's zero, as this gateway tells them to the
// module, and with limits.peers as the operator has it: what the platform allows is not yet wished for.
func moduleSettings(settings json.RawMessage, peers bool) ([]byte, error) {
	var all, family, limits map[string]json.RawMessage
	if err := json.Unmarshal(settings, &all); err != nil {
		return nil, fmt.Errorf("configuration: settings: %w", err)
	}
	if err := json.Unmarshal(all["familyInfo"], &family); err != nil {
		return nil, fmt.Errorf("configuration: settings.familyInfo: %w", err)
	}
	if err := json.Unmarshal(all["limits"], &limits); err != nil {
		return nil, fmt.Errorf("configuration: settings.limits: %w", err)
	}
	family["countedFromMs"] = json.RawMessage("0")
	limits["peers"] = json.RawMessage(strconv.FormatBool(peers))
	var err error
	if all["limits"], err = json.Marshal(limits); err != nil {
		return nil, err
	}
	if all["familyInfo"], err = json.Marshal(family); err != nil {
		return nil, err
	}
	return json.Marshal(all)
}
