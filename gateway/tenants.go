package gateway

import (
	"context"
	"log/slog"
	"math"
	"net"

	"magpieglade/routes"
)

// Connection limits and the log level of a generation take effect together with it.

// tenantOf returns the tenant that a client's connection counts against, negative if none: the tenant of the first
// matching route whose conditions are only users, databases and networks.
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

// admit counts a client against its tenant once its user and database are known; ok is false if the tenant has reached its
// limit. first is the unallocated of acquireConnection.
func (cs *clients) admit(c *client) (ok, first bool) {
	x := cs.g.generations.inForce
	tenant := cs.tenantOf(x, c)
	if tenant < 0 {
		return true, false
	}
	if !x.shares.CanConnect(tenant) {
		return false, false
	}
	if ok, first = cs.g.generations.acquireConnection(c, tenant); !ok {
		return false, first
	}
	x.shares.AddConnections(tenant, 1)
	c.tenant = tenant + 1
	return true, false
}

// releaseConnection takes back what admit counted.
func (cs *clients) releaseConnection(c *client) {
	if c.connectionLimit != 0 {
		cs.g.quotas.Module.End(c.connectionLimit, 1)
		c.connectionLimit = 0
	}
	if c.tenant > 0 {
		cs.g.generations.inForce.shares.AddConnections(c.tenant-1, -1)
		c.tenant = 0
	}
}

// recountConnections counts all clients against the tenants of a generation that comes into force. Connected clients stay,
// even beyond a new limit.
func (cs *clients) recountConnections(x *generation) {
	for _, ref := range cs.conns.Refs() {
		c := cs.conns.Get(ref)
		if c.connectionLimit != 0 {
			cs.g.quotas.Module.End(c.connectionLimit, 1)
			c.connectionLimit = 0
		}
		if c.tenant = 0; !c.admitted {
			continue
		}
		if tenant := cs.tenantOf(x, c); tenant >= 0 {
			x.shares.AddConnections(tenant, 1)
			c.tenant = tenant + 1
			if int(tenant) < len(x.fleetLimits) && x.fleetLimits[tenant] != nil && x.fleetLimits[tenant].connectionsKey != 0 {
				c.connectionLimit = x.fleetLimits[tenant].connectionsKey
				cs.g.quotas.Module.AddExisting(c.connectionLimit, 1)
			}
		}
	}
}

// levelAll is below every level, so that the wrapped handler alone decides what is logged.
const levelAll = slog.Level(math.MinInt32)

// levelHandler drops records below a level that may change at any time.
type levelHandler struct {
	slog.Handler
	minLevel *slog.LevelVar
}

// Enabled implements slog.Handler.
func (l levelHandler) Enabled(ctx context.Context, at slog.Level) bool {
	return at >= l.minLevel.Level() && l.Handler.Enabled(ctx, at)
}

// WithAttrs implements slog.Handler.
func (l levelHandler) WithAttrs(all []slog.Attr) slog.Handler {
	return levelHandler{l.Handler.WithAttrs(all), l.minLevel}
}

// WithGroup implements slog.Handler.
func (l levelHandler) WithGroup(name string) slog.Handler {
	return levelHandler{l.Handler.WithGroup(name), l.minLevel}
}

// minLogLevel returns the minimum level that a document sets for the log.
func minLogLevel(d *routes.Document) slog.Level {
	if d == nil || d.LogLevel == "" {
		return levelAll
	}
	var at slog.Level
	_ = at.UnmarshalText([]byte(d.LogLevel)) // validated with the document
	return at
}
