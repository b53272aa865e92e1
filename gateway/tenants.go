package gateway

import (
	"context"
	"log/slog"
	"math"
	"net"

	"magpieglade/routes"
)

// What a generation says of connections and of the log is in force with it.

// tenantOf is whose connections a client counts against, below 0 for nobody's: the tenant of the first route that goes by
// users, databases and networks alone and matches.
func (cs *clients) tenantOf(x *generation, c *client) int32 {
	if x.table == nil {
		return -1
	}
	t := routes.Txn{User: c.user, Database: c.database}
	if a, ok := c.conn.RemoteAddr().(*net.TCPAddr); ok {
		t.Client = a.AddrPort().Addr()
	}
	return x.table.ConnectionTenant(t)
}

// admit counts a client that has told its names against its tenant; ok is false where that may have no more.
func (cs *clients) admit(c *client) (ok, first bool) {
	x := cs.g.generations.inForce
	n := cs.tenantOf(x, c)
	if n < 0 {
		return true, false
	}
	if !x.shares.CanConnect(n) {
		return false, false
	}
	if ok, first = cs.g.generations.mayConnect(c, n); !ok {
		return false, first
	}
	x.shares.AddConnections(n, 1)
	c.tenant = n + 1
	return true, false
}

// leaves takes it back.
func (cs *clients) releaseConnection(c *client) {
	if c.connects != 0 {
		cs.g.quotas.Module.End(c.connects, 1)
		c.connects = 0
	}
	if c.tenant > 0 {
		cs.g.generations.inForce.shares.AddConnections(c.tenant-1, -1)
		c.tenant = 0
	}
}

// recount counts all clients against the tenants of a generation that comes in force. Who is there stays, also past a
// new bound.
func (cs *clients) recountConnections(x *generation) {
	for _, ref := range cs.open.Refs() {
		c := cs.open.Get(ref)
		if c.connects != 0 {
			cs.g.quotas.Module.End(c.connects, 1)
			c.connects = 0
		}
		if c.tenant = 0; !c.admitted {
			continue
		}
		if n := cs.tenantOf(x, c); n >= 0 {
			x.shares.AddConnections(n, 1)
			c.tenant = n + 1
			if int(n) < len(x.fleetLimits) && x.fleetLimits[n] != nil && x.fleetLimits[n].connects != 0 {
				c.connects = x.fleetLimits[n].connects
				cs.g.quotas.Module.AddExisting(c.connects, 1)
			}
		}
	}
}

// everything is a level below all: what is logged is then for the handler to say.
const levelAll = slog.Level(math.MinInt32)

// levelled is a handler that takes no less than a level, which may change at any time.
type levelHandler struct {
	slog.Handler
	minLevel *slog.LevelVar
}

// Enabled is for slog.
func (l levelHandler) Enabled(ctx context.Context, at slog.Level) bool {
	return at >= l.minLevel.Level() && l.Handler.Enabled(ctx, at)
}

// WithAttrs is for slog.
func (l levelHandler) WithAttrs(all []slog.Attr) slog.Handler {
	return levelHandler{l.Handler.WithAttrs(all), l.minLevel}
}

// WithGroup is for slog.
func (l levelHandler) WithGroup(name string) slog.Handler {
	return levelHandler{l.Handler.WithGroup(name), l.minLevel}
}

// levelOf is the least level that a document has logged.
func minLogLevel(d *routes.Document) slog.Level {
	if d == nil || d.LogLevel == "" {
		return levelAll
	}
	var at slog.Level
	_ = at.UnmarshalText([]byte(d.LogLevel)) // it was checked
	return at
}
