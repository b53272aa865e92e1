// Package routes decides which txn type, tenant and pool apply to a txn, and whether its tenant may have one more now.
// A document is checked and compiled into an immutable table; a lookup in it allocates nothing.
//
// document.go holds the document, check.go its validation, table.go the lookup, limits.go the shares of tenants,
// retries.go the retry budgets, clash.go the comparison of two documents. None of them does input or output, reads a
// clock or starts a goroutine.
package routes

import (
	"fmt"
	"net/netip"
	"slices"
)

// SourceLocation is a location in a file; Line 0 is none.
type SourceLocation struct {
	File         string
	Line, Column int
}

// String returns the location as file:line:column, or "document" where there is none.
func (l SourceLocation) String() string {
	if l.Line == 0 {
		return "document"
	}
	return fmt.Sprintf("%s:%d:%d", l.File, l.Line, l.Column)
}

// Route sets what applies to the txns that it matches. Of several that match the first in the document applies. An
// empty condition matches all; one with several values matches any of them.
type Route struct {
	Name      string
	At        SourceLocation
	Types     []string // txn types, as clients tag them
	Users     []string
	Databases []string
	Tables    []string
	Networks  []netip.Prefix // of clients

	RunAs         string   `json:"Type"` // the txn type that matching txns run as; empty leaves theirs
	Tenant        string   // whose limits the txn counts against; empty is none
	Groups        []int    // the only groups that it may go to, others are refused; empty is any
	Zones         []string // its reads go to members of these zones while there are any; empty is any
	TargetLatency int64    `json:"Aim"` // nanoseconds, shorter than the txn type's; 0 leaves that
	Expiry        int64    // maximum nanoseconds that it may take; 0 leaves the client's
	RetryRatio    float64  `json:"Retries"` // repeated submissions as a fraction of first ones; below 0 is no limit
}

// Tenant is a user of the gateway with its own share and limits.
type Tenant struct {
	Name             string
	At               SourceLocation
	Weight           float64 // of its share of the in-flight limit, relative to the other tenants'
	MaxInFlight      int     // txns, including those in slots that others lend it; 0 is no limit
	MaxBytes         int64   // of queries and answers in flight; 0 is no limit
	Rate             float64 // txns a second; 0 is no limit
	Burst            float64 // txns that may come at once within Rate
	MaxConnections   int     // 0 is no limit
	FleetWide        bool    // Rate, MaxInFlight, MaxBytes and MaxConnections apply to all gateways together, else to each
	WithoutAgreement string  // Serve or Reject: what happens to its txns while a gateway can't renew the fleet's agreement; empty is the default
}

// FormatVersion is the latest document format that this build reads. A fleet agrees on no document that one of its
// gateways can't read.
const FormatVersion = 2

// RequiredFormat is the lowest format version that can read a document: 2 adds fleet-wide limits.
func (d *Document) RequiredFormat() int {
	if d != nil && slices.ContainsFunc(d.Tenants, func(t Tenant) bool { return t.FleetWide }) {
		return 2
	}
	return 1
}

// Document is all that can be changed while a gateway runs.
type Document struct {
	Routes      []Route
	Tenants     []Tenant
	MaxInFlight int // txns of all tenants, which their weights share; 0 is no limit
	Excluded    []Member
	Drained     []Member
	LogLevel    string // the lowest level that is logged: "info", "warn" or "error"; empty is all
}

// Member refers to a member by name.
type Member struct {
	Name string
	At   SourceLocation
}

// Environment is what a document is checked against.
type Environment struct {
	Types             []Type
	Zones             []string
	Groups            map[int][]Host // members by group, as listed
	ClientDescriptors int            // file descriptors available to clients
	Now               int64
}

// Type is one of the platform's txn types.
type Type struct {
	Name          string
	HardLimit     int64 // nanoseconds
	Effect        string
	Need          string // the consistency that its reads need, or "mutate"
	Window        int64
	TargetLatency int64
}

// Host is a listed member.
type Host struct {
	Name, Zone string
	Draining   bool
	Primary    bool // as far as is currently known
}
