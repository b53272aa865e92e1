package standin

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
)

// ClientPool creates clients that connect to gateways and can switch between them.
type ClientPool struct {
	gateways []string
	lastID   atomic.Uint64
}

// NewClientPool creates a pool for the gateways with the given addresses.
func NewClientPool(gateways ...string) *ClientPool { return &ClientPool{gateways: gateways} }

// Client is one client with a connection to each gateway that it has used. It is not safe for concurrent use.
type Client struct {
	User        string // user of the startup message; empty means portal
	pool        *ClientPool
	SessionCode string // identifies the session's row
	Group       int
	Timeout     time.Duration // response timeout
	MinPosition int64         // position that its session claims to have reached, Unix milliseconds
	Token       string        // latest signed position token received
	Types       TxnTypes
	conns       map[int]*pgconn.PgConn
}

// TxnTypes are the names of the txn types that a client uses.
type TxnTypes struct{ Write, Read string }

// Response is the result of a client's request.
type Response struct {
	Value      string
	Code       string // SQLSTATE, empty if the request was served
	RetryAfter string // suggested retry delay in milliseconds, empty if none
	Err        error  // of the connection
	Latency    time.Duration
}

// String describes the response.
func (a Response) String() string {
	switch {
	case a.Err != nil:
		return "no response: " + a.Err.Error()
	case a.Code != "":
		return strings.TrimSpace(a.Code + " " + a.RetryAfter)
	}
	return "served " + a.Value
}

// NewClient creates a client of a session.
func (f *ClientPool) NewClient(code string, classes TxnTypes) *Client {
	return &Client{pool: f, SessionCode: code, Timeout: time.Second, Types: classes, conns: map[int]*pgconn.PgConn{}}
}

// Write writes the next value of its session through a gateway; key deduplicates repeats.
func (c *Client) Write(gateway int, key, value string) Response {
	return c.query(gateway, fmt.Sprintf("c=%s,k=%s", c.Types.Write, key),
		fmt.Sprintf("INSERT INTO facts (code, data) VALUES ('%s', '%s') RETURNING data", c.SessionCode, value))
}

// WriteWithID writes with a txn id of the caller's choice; an empty key sends none.
func (c *Client) WriteWithID(id uint64, gateway int, key, value string) Response {
	more := "c=" + c.Types.Write
	if key != "" {
		more += ",k=" + key
	}
	return c.queryWithID(id, gateway, more, fmt.Sprintf("INSERT INTO facts (code, data) VALUES ('%s', '%s') RETURNING data", c.SessionCode, value))
}

// ReadWithID reads its session's value with a txn id of the caller's choice.
func (c *Client) ReadWithID(id uint64, gateway int) Response {
	return c.queryWithID(id, gateway, "c="+c.Types.Read, fmt.Sprintf("SELECT data FROM facts WHERE code = '%s'", c.SessionCode))
}

// Read reads its session's value through a gateway.
func (c *Client) Read(gateway int) Response {
	more := "c=" + c.Types.Read
	if c.MinPosition > 0 {
		more += ",after=" + strconv.FormatInt(c.MinPosition, 10)
	}
	if c.Token != "" {
		more += ",at=" + c.Token
	}
	return c.query(gateway, more, fmt.Sprintf("SELECT data FROM facts WHERE code = '%s'", c.SessionCode))
}

// Drop closes the connection to a gateway without a Terminate message, like a client that fails.
func (c *Client) Drop(gateway int) {
	if conn := c.conns[gateway]; conn != nil {
		_ = conn.Conn().Close()
		delete(c.conns, gateway)
	}
}

// Close closes all connections.
func (c *Client) Close() {
	for gateway := range c.conns {
		c.Drop(gateway)
	}
}

func (c *Client) query(gateway int, parameters, sql string) Response {
	return c.queryWithID(c.pool.lastID.Add(1), gateway, parameters, sql)
}

func (c *Client) queryWithID(id uint64, gateway int, parameters, sql string) (a Response) {
	start := time.Now()
	defer func() { a.Latency = time.Since(start) }()
	// Longer than the request's own timeout, so that a late response is still observed.
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout+eventTimeout)
	defer cancel()
	conn := c.conns[gateway]
	if conn == nil {
		var err error
		if conn, err = pgconn.Connect(ctx, "postgres://"+cmp.Or(c.User, "portal")+"@"+c.pool.gateways[gateway]+"/crm?sslmode=disable"); err != nil {
			return Response{Err: err}
		}
		c.conns[gateway] = conn
	}
	text := fmt.Sprintf("/* id=%016x,%s,d=%d,cluster=%d */ %s", id, parameters, c.Timeout.Milliseconds(), c.Group, sql)
	results, err := conn.Exec(ctx, text).ReadAll()
	var pgErr *pgconn.PgError
	switch {
	case errors.As(err, &pgErr):
		if conn.IsClosed() {
			delete(c.conns, gateway)
		}
		return Response{Code: pgErr.Code, RetryAfter: pgErr.Detail}
	case err != nil:
		c.Drop(gateway)
		return Response{Err: err}
	}
	if token := conn.ParameterStatus("session_token"); token != "" && strings.Contains(sql, "INSERT") {
		c.Token = token
	}
	if len(results) == 1 && len(results[0].Rows) == 1 {
		a.Value = string(results[0].Rows[0][0])
	}
	return a
}
