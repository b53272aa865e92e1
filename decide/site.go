package decide

import (
	"encoding/json"
	"fmt"
	"slices"
)

// txnClass holds the settings of one txn type.
type txnClass struct {
	Name          string
	Worth         float64
	LateValue     float64
	TargetLatency Nanos `json:"promiseMs"`
	HardLimit     Nanos `json:"hardLimitMs"`
	AimStretch    float64
	Effect        string
	Group         string
	DedupWindow   Nanos `json:"windowMs"`
}

// settings holds the part of the host's settings that decisions depend on.
type settings struct {
	Classes     []txnClass
	Replication struct {
		Consistency    []string
		MaxStaleness   []Nanos `json:"oldestDataMs"`
		WhenBehind     string
		WriteMarks     string
		RoleInList     string
		PositionEpoch  Nanos `json:"countedFromMs"`
		ReplicaWait    Nanos `json:"waitMs"`
		AnswersStamped bool
		ClockError     Nanos `json:"clockErrorMs"` // by which the clocks of servers may differ
	} `json:"familyInfo"`
	FleetSize int
	Limits    struct {
		Cancelling     bool
		ConnectTimeout Nanos `json:"connectTimeoutMs"`
		MaxAttempts    int
		MaxRetryAfter  Nanos `json:"maxRetryAfterMs"`
		MayDuplicate   bool
		Peers          bool
		Probes         bool
		RetryAfter     bool
	}
	LoadReport struct {
		Fields []string
		How    string
	}
	Zone           int `json:"locality"`
	MembershipMode string
	// A host that gets lists only in answers to its requests sets it, whatever the platform calls the mode.
	ListByRequest bool
	ObjectiveMix  struct{ WorstClass float64 }
	Rules         struct {
		MaxListAge     Nanos `json:"askWithinMs"`
		ColdFrom       float64
		ColdDuration   Nanos `json:"coldMs"`
		FallMultiple   float64
		OverloadWindow Nanos `json:"overloadForMs"`
		SoftRemoval    bool
	}
	Tick Nanos `json:"tickMs"`
}

// requestsList reports whether the member list comes only in answers to requests.
func (s *settings) requestsList() bool { return s.MembershipMode == "ask" || s.ListByRequest }

// maxListAge is the age that the list may have. A pushed list has none by the settings; a change of it counts as known at
// once, and after pushedListAge whatever has failed.
func (s *settings) maxListAge() Nanos {
	if s.MembershipMode == "push" {
		return pushedListAge
	}
	return s.Rules.MaxListAge
}

// firstSubscribeBackoff is how long the first retry of a list request waits.
func (s *settings) firstSubscribeBackoff() Nanos {
	return min(initialBackoff, s.maxSubscribeBackoff())
}

// maxSubscribeBackoff is how long a retry of a list request waits at most, before jitter.
func (s *settings) maxSubscribeBackoff() Nanos {
	if s.MembershipMode == "push" {
		return pushedListBackoff
	}
	return min(s.maxListAge()/4, maxSubscribeBackoff)
}

// parseSettings decodes the settings. The error names the first value that is missing or unknown.
func parseSettings(text []byte) (*settings, error) {
	s := new(settings)
	if err := json.Unmarshal(text, s); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	missing := func(name string) error { return fmt.Errorf("settings: %s is lacking or out of range", name) }
	switch {
	case len(s.Classes) == 0:
		return nil, missing("classes")
	case len(s.Replication.Consistency) != len(s.Classes):
		return nil, missing("familyInfo.consistency")
	case len(s.Replication.MaxStaleness) != len(s.Classes):
		return nil, missing("familyInfo.oldestDataMs")
	case s.FleetSize < 1:
		return nil, missing("fleetSize")
	case s.Limits.MaxAttempts < 1:
		return nil, missing("limits.maxAttempts")
	case s.Tick <= 0:
		return nil, missing("tickMs")
	case s.Rules.ColdFrom <= 0 || s.Rules.ColdFrom > 1:
		return nil, missing("rules.coldFrom")
	case s.Rules.FallMultiple <= 0:
		return nil, missing("rules.fallMultiple")
	case s.Rules.OverloadWindow <= 0:
		return nil, missing("rules.overloadForMs")
	case s.MembershipMode == "ask" && s.Rules.MaxListAge <= 0:
		return nil, missing("rules.askWithinMs")
	}
	oneOf := func(name, value string, values ...string) error {
		if value == "" {
			return missing(name)
		}
		if !slices.Contains(values, value) {
			return fmt.Errorf("settings: %s has the unknown value %q", name, value)
		}
		return nil
	}
	for i, c := range s.Classes {
		if c.TargetLatency <= 0 {
			return nil, missing("classes[].promiseMs")
		}
		if err := oneOf("classes[].effect", c.Effect, "repeatable", "by_key", "once"); err != nil {
			return nil, err
		}
		if c.Effect == "by_key" {
			if err := oneOf("classes[].group", c.Group, "all", "zone", "cell"); err != nil {
				return nil, err
			}
		}
		consistency := s.Replication.Consistency[i]
		err := oneOf("familyInfo.consistency", consistency, "mutate", "strong", "causal", "lag_bound", "eventual")
		if err != nil {
			return nil, err
		}
	}
	for _, err := range []error{
		oneOf("familyInfo.whenBehind", s.Replication.WhenBehind, "none", "bounce", "await"),
		oneOf("familyInfo.writeMarks", s.Replication.WriteMarks, "brought", "kept"),
		oneOf("familyInfo.roleInList", s.Replication.RoleInList, "trailing", "static", "none"),
		oneOf("loadReport.how", s.LoadReport.How, "answers", "probe", "none"),
		oneOf("membershipMode", s.MembershipMode, "push", "ask"),
	} {
		if err != nil {
			return nil, err
		}
	}
	return s, nil
}
