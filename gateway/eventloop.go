package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"

	"github.com/panjf2000/gnet/v2"

	"magpieglade/internal/neterr"
)

// readBufferSize is how many bytes are read from a connection before the others have their turn.
const readBufferSize = 16 << 10

// serve runs the event loop until it ends. The loop does not use gnet's own listener, which would end the loop on the first
// accept error that gnet does not know.
func (g *Gateway) serve() error {
	err := neterr.Retry(startTimeout, func() (err error) {
		g.listener, err = g.network.Listen(g.config.Listen)
		return err
	})
	if err != nil {
		return err
	}
	defer g.listener.Close()
	loop, err := gnet.NewClient(g, gnet.WithNumEventLoop(1), gnet.WithReadBufferCap(readBufferSize), gnet.WithLogger(gnetLog{g.log}))
	if err != nil {
		return err
	}
	if err := neterr.Retry(startTimeout, loop.Start); err != nil {
		return fmt.Errorf("starting the event loop: %w", err)
	}
	if err := neterr.Retry(startTimeout, func() error { return g.openLoop(loop) }); err != nil {
		return errors.Join(fmt.Errorf("getting a handle on the event loop: %w", err), loop.Stop())
	}
	<-g.loopEnded
	err = loop.Stop()
	if err == nil && !g.loopStopped {
		err = errors.New("ended unexpectedly")
	}
	if err != nil {
		return fmt.Errorf("the event loop: %w", err)
	}
	return nil
}

// openLoop gets the gateway's handle on the loop. gnet provides it only with a connection, so an unused UDP socket is
// registered, which stays open until the loop ends.
func (g *Gateway) openLoop(loop *gnet.Client) error {
	c, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(g.config.Listen))
	if err != nil {
		return err
	}
	o := &owner{kind: ownerLoopHandle}
	if _, err := loop.EnrollContext(c, o); err != nil {
		return err
	}
	if !o.opened {
		return neterr.ErrNotRegistered
	}
	return nil
}

// enroll registers a connection with the loop, which duplicates its descriptor, and returns once it is open there. A
// connection that the loop does not accept is closed.
func (g *Gateway) enroll(c net.Conn, o *owner) error {
	opened, err := g.loop.Enroll(gnet.NewContext(context.Background(), o), c)
	if err != nil {
		_ = c.Close()
		return err
	}
	select {
	case result := <-opened:
		if result.Err == nil && !o.opened {
			return neterr.ErrNotRegistered
		}
		return result.Err
	case <-g.loopEnded:
		return net.ErrClosed
	}
}
