package decide

import (
	"encoding/json"
	"fmt"
	"math"
)

// Nanos is a point in time on the host's clock or a duration, in whole nanoseconds. Settings give it in
// milliseconds.
type Nanos int64

// Millisecond is the unit of times in the settings.
const Millisecond Nanos = 1e6

// Millis converts fractional milliseconds; values that the clock cannot hold become a very long duration.
func Millis(ms float64) Nanos {
	if ns := ms * 1e6; ns > -math.MaxInt64/2 && ns < math.MaxInt64/2 {
		return Nanos(math.Round(ns))
	}
	return math.MaxInt64 / 4
}

// UnmarshalJSON decodes a number of milliseconds.
func (n *Nanos) UnmarshalJSON(text []byte) error {
	var ms float64
	err := json.Unmarshal(text, &ms)
	*n = Millis(ms)
	return err
}

// Server is a database server's IPv4 address and port in wire order: the port's low byte first.
type Server [6]byte

func (s Server) String() string {
	return fmt.Sprintf("%d.%d.%d.%d:%d", s[0], s[1], s[2], s[3], int(s[4])|int(s[5])<<8)
}

// Result is the outcome of a submission or a probe.
type Result int

const (
	Committed  Result = iota
	Failed            // answered with an error: may have had an effect
	AtCapacity        // refused for lack of capacity: never ran
	TimedOut
	Unreachable     // no connection: never ran
	Broken          // the connection failed or the answer was corrupt: may have run
	Cancelled       // may have run
	NotSent         // never sent
	NotEligible     // refused: not the primary, or too far behind; never ran
	ResetBeforeSend // the connection failed before the txn was sent: never ran
)

// resultNames are the labels of results in logs and metrics.
var resultNames = [...]string{Committed: "committed", Failed: "failed", AtCapacity: "full",
	TimedOut: "timed out", Unreachable: "unreachable",
	Broken: "broken", Cancelled: "cancelled", NotSent: "not sent", NotEligible: "missed", ResetBeforeSend: "reset before sent"}

func (r Result) String() string {
	if r < 0 || int(r) >= len(resultNames) {
		return fmt.Sprintf("result %d", int(r))
	}
	return resultNames[r]
}

// Proof is why a read may be sent to a member.
type Proof int

const (
	NoProof         Proof = iota // not a read
	NoneRequired                 // any replica will do
	ProvenPosition               // the member is known to have reached what the read must see
	AtPrimary                    // the member is the primary, by the last that is known
	CheckedByMember              // the member refuses the read if it is too far behind
)

// proofNames are the labels of proofs in logs and metrics.
var proofNames = [...]string{NoProof: "none", NoneRequired: "none required", ProvenPosition: "position", AtPrimary: "primary",
	CheckedByMember: "member checks"}

func (p Proof) String() string {
	if p < 0 || int(p) >= len(proofNames) {
		return fmt.Sprintf("proof %d", int(p))
	}
	return proofNames[p]
}

// Role is the role that a member reports in its answer.
type Role int

const (
	RoleUnknown Role = iota
	RolePrimary
	RoleReplica
)

// Status is a member's status in the member list.
type Status int

const (
	Removed Status = iota
	Ready
	Draining
)

// Scope is how much of the member list an update covers.
type Scope int

const (
	Delta Scope = iota
	FullList
	CachedList
)

// Kind is the action that a decision asks of the host.
type Kind int

const (
	Submit        Kind = iota // send Txn to Server, before SendBefore if set; times out at Expiry
	Reject                    // answer Txn finally: a retry is safe, after Delay
	RollBack                  // answer Txn finally, without a promise that a retry is safe
	Cancel                    // cancel the submission Attempt of Txn
	Probe                     // probe Server
	CloseIdle                 // close idle connections to Server
	SubscribeList             // subscribe to changes of the member list
	FetchList                 // request the full member list once
	Wake                      // start another round after Delay
	SendUpdates               // send Updates to all other gateways
	Log                       // write Text to the log
)

// MemberUpdate is what one gateway sends the others about a member: a position that it was proven to have
// reached, and whether it told that gateway, together with this very position, that it was the primary. Neither
// is ever retracted, so updates may arrive late, twice or not at all.
type MemberUpdate struct {
	Server   Server
	Position Nanos
	Primary  bool
}

// Decision is one action for the host. Which fields are set depends on Kind.
type Decision struct {
	Kind       Kind
	Txn        uint64
	Attempt    uint16
	Server     Server
	Expiry     Nanos
	SendBefore Nanos // a submission must not be sent after this time; 0 for no limit
	Proof      Proof // of a submission
	Delay      Nanos
	Text       string
	Updates    []MemberUpdate
}
