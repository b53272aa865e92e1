package decide

import (
	"encoding/json"
	"fmt"
	"slices"
)

// class is one txn type, as the host's settings give it.
type class struct {
	Name       string
	Worth      float64
	LateValue  float64
	Aim        Nanos `json:"promiseMs"`
	HardLimit  Nanos `json:"hardLimitMs"`
	AimStretch float64
	Effect     string
	Group      string
	Window     Nanos `json:"windowMs"`
}

// site holds what the decisions read of the host's settings.
type site struct {
	Classes []class
	Family  struct {
		Consistency    []string
		Bound          []Nanos `json:"oldestDataMs"`
		WhenBehind     string
		WriteMarks     string
		RoleInList     string
		Zero           Nanos `json:"countedFromMs"`
		Hold           Nanos `json:"waitMs"`
		AnswersStamped bool
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
	ObjectiveMix   struct{ WorstClass float64 }
	Rules          struct {
		AskWithin    Nanos `json:"askWithinMs"`
		ColdFrom     float64
		Cold         Nanos `json:"coldMs"`
		FallMultiple float64
		OverloadFor  Nanos `json:"overloadForMs"`
		SoftRemoval  bool
	}
	Tick Nanos `json:"tickMs"`
}

// readSite decodes the settings and names the first value that is lacking or unknown.
func readSite(text []byte) (*site, error) {
	s := new(site)
	if err := json.Unmarshal(text, s); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	lacking := func(name string) error { return fmt.Errorf("settings: %s is lacking or out of range", name) }
	switch {
	case len(s.Classes) == 0:
		return nil, lacking("classes")
	case len(s.Family.Consistency) != len(s.Classes):
		return nil, lacking("familyInfo.consistency")
	case len(s.Family.Bound) != len(s.Classes):
		return nil, lacking("familyInfo.oldestDataMs")
	case s.FleetSize < 1:
		return nil, lacking("fleetSize")
	case s.Limits.MaxAttempts < 1:
		return nil, lacking("limits.maxAttempts")
	case s.Tick <= 0:
		return nil, lacking("tickMs")
	case s.Rules.ColdFrom <= 0 || s.Rules.ColdFrom > 1:
		return nil, lacking("rules.coldFrom")
	case s.Rules.FallMultiple <= 0:
		return nil, lacking("rules.fallMultiple")
	case s.Rules.OverloadFor <= 0:
		return nil, lacking("rules.overloadForMs")
	case s.MembershipMode == "ask" && s.Rules.AskWithin <= 0:
		return nil, lacking("rules.askWithinMs")
	}
	known := func(name, value string, values ...string) error {
		if value == "" {
			return lacking(name)
		}
		if !slices.Contains(values, value) {
			return fmt.Errorf("settings: %s has the unknown value %q", name, value)
		}
		return nil
	}
	for i, c := range s.Classes {
		if c.Aim <= 0 {
			return nil, lacking("classes[].promiseMs")
		}
		if err := known("classes[].effect", c.Effect, "repeatable", "by_key", "once"); err != nil {
			return nil, err
		}
		if c.Effect == "by_key" {
			if err := known("classes[].group", c.Group, "all", "zone", "cell"); err != nil {
				return nil, err
			}
		}
		need := s.Family.Consistency[i]
		err := known("familyInfo.consistency", need, "mutate", "strong", "causal", "lag_bound", "eventual")
		if err != nil {
			return nil, err
		}
	}
	for _, k := range []error{
		known("familyInfo.whenBehind", s.Family.WhenBehind, "none", "bounce", "await"),
		known("familyInfo.writeMarks", s.Family.WriteMarks, "brought", "kept"),
		known("familyInfo.roleInList", s.Family.RoleInList, "trailing", "static", "none"),
		known("loadReport.how", s.LoadReport.How, "answers", "probe", "none"),
		known("membershipMode", s.MembershipMode, "push", "ask"),
	} {
		if k != nil {
			return nil, k
		}
	}
	return s, nil
}
