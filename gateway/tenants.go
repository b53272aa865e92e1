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
	if ok, first = cs.g.generations.acquireConnection(c, n); !ok {
		return false, first
	}
	x.shares.AddConnections(n, 1)
	c.tenant = n + 1
	return true, false
}

// leaves takes it back.
func (cs *clients) leaves(c *client) {
	if c.connectionLimit != 0 {
		cs.g.quotas.Module.End(c.connectionLimit, 1)
		c.connectionLimit = 0
	}
	if c.tenant > 0 {
		cs.g.generations.inForce.shares.AddConnections(c.tenant-1, -1)
		c.tenant = 0
	}
}

// recount counts all clients against the tenants of a generation that comes in force. Who is there stays, also past a
// new bound.
func (cs *clients) recount(x *generation) {
	for _, ref := range cs.conns.Refs() {
		c := cs.conns.Get(ref)
		if c.connectionLimit != 0 {
			cs.g.quotas.Module.End(c.connectionLimit, 1)
			c.connectionLimit = 0
		}
		if c.tenant = 0; !c.admitted {
			continue
		}
		if n := cs.tenantOf(x, c); n >= 0 {
			x.shares.AddConnections(n, 1)
			c.tenant = n + 1
			if int(n) < len(x.fleet) && x.fleet[n] != nil && x.fleet[n].connectionsKey != 0 {
				c.connectionLimit = x.fleet[n].connectionsKey
				cs.g.quotas.Module.AddExisting(c.connectionLimit, 1)
			}
		}
	}
}

// everything is a level below all: what is logged is then for the handler to say.
const everything = slog.Level(math.MinInt32)

// levelled is a handler that takes no less than a level, which may change at any time.
type levelled struct {
	slog.Handler
	least *slog.LevelVar
}

// Enabled is for slog.
func (l levelled) Enabled(ctx context.Context, at slog.Level) bool {
	return at >= l.least.Level() && l.Handler.Enabled(ctx, at)
}

// WithAttrs is for slog.
func (l levelled) WithAttrs(all []slog.Attr) slog.Handler {
	return levelled{l.Handler.WithAttrs(all), l.least}
}

// WithGroup is for slog.
func (l levelled) WithGroup(name string) slog.Handler {
	return levelled{l.Handler.WithGroup(name), l.least}
}

// levelOf is the least level that a document has logged.
func levelOf(d *routes.Document) slog.Level {
	if d == nil || d.LogLevel == "" {
		return everything
	}
	var at slog.Level
	_ = at.UnmarshalText([]byte(d.LogLevel)) // it was checked
	return at
}
