package gateway

import (
	"errors"
	"fmt"

	"magpieglade/internal/eventloop"
	"magpieglade/internal/neterr"
)

// readBufferSize is how many bytes are read from a connection before the others have their turn.
const readBufferSize = 16 << 10

// serve accepts clients and runs the event loop until it ends.
func (g *Gateway) serve() error {
	err := neterr.Retry(startTimeout, func() (err error) {
		g.listener, err = g.network.Listen(g.config.Listen)
		return err
	})
	if err != nil {
		return err
	}
	defer g.listener.Close()
	err = neterr.Retry(startTimeout, func() (err error) {
		g.loop, err = eventloop.New(g, readBufferSize)
		return err
	})
	if err != nil {
		return fmt.Errorf("starting the event loop: %w", err)
	}
	g.post(g.begin)
	err = g.loop.Run()
	if err == nil && !g.loopStopped {
		err = errors.New("ended unexpectedly")
	}
	if err != nil {
		return fmt.Errorf("the event loop: %w", err)
	}
	return nil
}
