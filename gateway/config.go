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

// Config is a gateway's configuration: the platform's file, and what the operator's file and an embedder add.
type Config struct {
	Name      string         `json:"name"`
	Listen    netip.AddrPort `json:"listen"`
	Discovery netip.AddrPort `json:"discovery"`
	Seed      string         `json:"seed"` // hexadecimal
	Limits    struct {
		MemoryMB int `json:"memory_mb"`
		Sockets  int `json:"sockets"`
	} `json:"limits"`
	KnownHosts *httpwire.List  `json:"known"`    // the last known member list
	Settings   json.RawMessage `json:"settings"` // settings of the decision module; the gateway reads a few names from them

	// Set from the operator's file (see deploy/) or by an embedder; not part of the platform's file.
	Log          *slog.Logger                                `json:"-"` // nil uses the default logger
	Sessions     *fleet.SessionConfig                        `json:"-"`
	Change       *Change                                     `json:"-"` // applied at the start, and kept at once unless another change was kept before
	Changes      *ChangeStore                                `json:"-"` // nil if changes are not kept across restarts
	Agreement    *fleet.Config                               `json:"-"` // nil without an agreement between gateways
	Coordination *fleet.CoordinationConfig                   `json:"-"` // decisions that gateways coordinate; nil if each decides alone
	Parse        func(text []byte) (*routes.Document, error) `json:"-"` // parses a version that was agreed on
	Elapsed      func() time.Duration                        `json:"-"` // a monotonic clock; nil uses the system's
	Network      Network                                     `json:"-"` // nil uses the operating system's
	ClockError   time.Duration                               `json:"-"` // maximum clock difference between machines; positions up to this far in the future are accepted
}

// FromEnvironment reads the file that EDGE_CONFIG names. EDGE_DISCOVERY is used only if the file has no discovery address;
// the other EDGE variables override the file. The variables and the file agree when a process is started: where they
// differ, the file was rewritten since, and the reload signal may have come before the process could handle it.
func FromEnvironment() (Config, error) { return fromEnvironment(true) }

// FromFile reads the file again, for Reload. It ignores EDGE_DISCOVERY, which dates from the start of the process.
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

// readFile reads a whole file and retries while it fails for a local reason, such as a lack of descriptors or memory.
func readFile(path string) (text []byte, err error) {
	failed := false
	err = neterr.Retry(startTimeout, func() (err error) {
		text, err = os.ReadFile(path)
		if err != nil && neterr.IsLocal(err) && !failed {
			failed = true
			slog.Warn("the configuration can't be read, trying again", "why", err)
		}
		return err
	})
	return text, err
}

// platformSettings is the part of the settings that the gateway itself needs: names for the decision module's indexes,
// and limits.
type platformSettings struct {
	Classes []struct {
		Name            string
		HardLimit       float64 `json:"hardLimitMs"`
		Effect          string
		Window          float64 `json:"windowMs"`
		TargetLatencyMs float64 `json:"PromiseMs"`
		Value           float64 `json:"Worth"`
		LateValue       float64
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
	MembershipMode      string
}

// pushesLists reports whether a change of the member list counts as known as soon as the list service has it.
func (s *platformSettings) pushesLists() bool { return s.MembershipMode == "push" }

// validate returns an error that names the first missing or invalid value.
func (c *Config) validate() (seed uint64, settings platformSettings, err error) {
	invalid := func(name string) (uint64, platformSettings, error) {
		return 0, settings, fmt.Errorf("configuration: %s is lacking or out of range", name)
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
	if c.Limits.Sockets < 2*reservedDescriptors {
		return invalid("limits.sockets")
	}
	if len(c.Settings) == 0 {
		return invalid("settings")
	}
	if err := json.Unmarshal(c.Settings, &settings); err != nil {
		return 0, settings, fmt.Errorf("configuration: settings: %w", err)
	}
	if settings.Limits.ConnectTimeoutMs <= 0 {
		return invalid("settings.limits.connectTimeoutMs")
	}
	if settings.Limits.KeepaliveMs <= 0 {
		return invalid("settings.limits.keepaliveMs")
	}
	if len(settings.FamilyInfo.Consistency) != len(settings.Classes) {
		return invalid("settings.familyInfo.consistency")
	}
	if c.Coordination != nil {
		if c.Agreement == nil {
			return 0, settings, errors.New("configuration: coordination needs an agreement on the list of gateways")
		}
		if err := c.Coordination.Validate(); err != nil {
			return 0, settings, fmt.Errorf("configuration: %w", err)
		}
	}
	if c.ClockError < 0 {
		return invalid("clock_error")
	}
	if c.Sessions != nil {
		if c.Sessions.Session.DynamicMembership = c.Agreement != nil; c.Agreement != nil {
			c.Sessions.Keys = nil // both share one address, so they share the keys
			for _, k := range c.Agreement.Keys {
				c.Sessions.Keys = append(c.Sessions.Keys, fleet.PeerKey{ID: k.ID, Secret: k.Secret})
			}
		}
		if err := c.Sessions.Validate(settings.LoadReport.How != "none" && slices.Contains(settings.LoadReport.Fields, "x0") && settings.Limits.Probes); err != nil {
			return 0, settings, fmt.Errorf("configuration: %w", err)
		}
	}
	if c.Agreement == nil && c.Change != nil && c.Change.Document.RequiredFormat() > 1 {
		return 0, settings, errors.New("configuration: a tenant's bounds are of the fleet (fleet = true), which needs the block agreement")
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
			return 0, settings, fmt.Errorf("configuration: %w", err)
		}
	}
	return seed, settings, nil
}

// moduleSettings returns the settings for the decision module: positions count from the clock's zero, as this gateway
// reports them, limits.peers is true only if the operator enables peers, since the platform merely permits them, and lists come
// only in answers to requests, since on sockets a push is the answer to a watch.
// Where members do not check reads, bounds are shortened by the clock error: a position may come from a clock that is ahead.
func moduleSettings(settings json.RawMessage, peers bool, clockError time.Duration) ([]byte, error) {
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
	family["clockErrorMs"] = json.RawMessage(strconv.FormatInt(clockError.Milliseconds(), 10))
	if string(family["whenBehind"]) == `"none"` && clockError > 0 {
		var bounds []float64
		if err := json.Unmarshal(family["oldestDataMs"], &bounds); err != nil {
			return nil, fmt.Errorf("configuration: settings.familyInfo.oldestDataMs: %w", err)
		}
		for i := range bounds {
			bounds[i] = max(0, bounds[i]-float64(clockError)/float64(time.Millisecond))
		}
		shortened, err := json.Marshal(bounds)
		if err != nil {
			return nil, err
		}
		family["oldestDataMs"] = shortened
	}
	limits["peers"] = json.RawMessage(strconv.FormatBool(peers))
	all["listByRequest"] = json.RawMessage("true")
	var err error
	if all["limits"], err = json.Marshal(limits); err != nil {
		return nil, err
	}
	if all["familyInfo"], err = json.Marshal(family); err != nil {
		return nil, err
	}
	return json.Marshal(all)
}
