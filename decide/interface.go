package decide

import (
	"encoding/json"
	"fmt"
	"math"
)

// Nanos is a time on the host's clock or a span, in whole nanoseconds; in settings it is written in
// milliseconds.
type Nanos int64

// Millisecond is the unit of settings.
const Millisecond Nanos = 1e6

// Millis converts milliseconds with a fraction; what no clock can hold is cut to the largest span.
func Millis(ms float64) Nanos {
	if ns := ms * 1e6; ns > -math.MaxInt64/2 && ns < math.MaxInt64/2 {
		return Nanos(math.Round(ns))
	}
	return math.MaxInt64 / 4
}

func (n *Nanos) UnmarshalJSON(text []byte) error {
	var ms float64
	err := json.Unmarshal(text, &ms)
	*n = Millis(ms)
	return err
}

// Server is a database server's IPv4 address and port, as the wire gives them: the port's low byte first.
type Server [6]byte

func (s Server) String() string {
	return fmt.Sprintf("%d.%d.%d.%d:%d", s[0], s[1], s[2], s[3], int(s[4])|int(s[5])<<8)
}

// Result is how a submission or a probe ended.
type Result int

const (
	Committed  Result = iota
	Failed            // answered with an error: may have had an effect
	AtCapacity        // turned away unseen
	TimedOut
	Unreachable     // no connection: never ran
	Broken          // the connection failed, or the answer was spoilt: may have run
	Cancelled       // may have run
	NotSent         // never sent
	NotEligible     // turned away untouched: not the primary, or too far behind
	ResetBeforeSend // the connection was made and failed before the txn was out: never ran
)

// resultNames are the labels of results in logs and metrics.
var resultNames = [...]string{Committed: "committed", Failed: "failed", AtCapacity: "full", TimedOut: "timed out", Unreachable: "unreachable",
	Broken: "broken", Cancelled: "cancelled", NotSent: "not sent", NotEligible: "missed", ResetBeforeSend: "reset before sent"}

func (r Result) String() string {
	if r < 0 || int(r) >= len(resultNames) {
		return fmt.Sprintf("result %d", int(r))
	}
	return resultNames[r]
}

// Role is what an answer says of the member that gave it.
type Role int

const (
	RoleUnknown Role = iota
	RolePrimary
	RoleReplica
)

// Status is what the list says of a member.
type Status int

const (
	Removed Status = iota
	Ready
	Draining
)

// Scope is how much of the list an announcement brings.
type Scope int

const (
	Delta Scope = iota
	FullList
	CachedList
)

// Kind is what a decision asks of the host.
type Kind int

const (
	Submit        Kind = iota // Txn to Server, sent Before a time if at all, given up at Until
	Reject                    // Txn, final; a retry does no harm; come back After
	RollBack                  // Txn, final; nothing is promised
	Cancel                    // submission No of Txn
	Probe                     // Server
	CloseIdle                 // close the idle connections to Server
	SubscribeList             // subscribe to the list's changes
	FetchList                 // ask for the whole list once
	Wake                      // a call of Woken After this span
	SendUpdates               // all other gateways the News
	Log                       // Text
)

// MemberUpdate is what one gateway tells the others of a member: a position that it was proven to have reached, and that
// it was primary then. Neither is ever taken back, so that news may come late, twice or not at all.
type MemberUpdate struct {
	Server   Server
	Position Nanos
	Primary  bool
}

// Decision is one thing for the host to do; which fields count depends on Kind.
type Decision struct {
	Kind       Kind
	Txn        uint64
	Attempt    uint16
	Server     Server
	Expiry     Nanos
	SendBefore Nanos // a submission begun later must not be sent any more; 0 is none
	Delay      Nanos
	Text       string
	Updates    []MemberUpdate
}
