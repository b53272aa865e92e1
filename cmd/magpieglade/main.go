// Command magpieglade is the gateway on sockets.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"magpieglade/gateway"
)

func main() {
	again := make(chan os.Signal, 1)
	signal.Notify(again, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	context.AfterFunc(ctx, stop) // a second signal ends it at once
	c, err := gateway.FromEnvironment()
	if err == nil {
		var g *gateway.Gateway
		if g, err = gateway.New(c); err == nil {
			go reload(g, again)
			err = g.Run(ctx)
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "magpieglade:", err)
		os.Exit(1)
	}
}

// reload reads the configuration anew at each signal.
func reload(g *gateway.Gateway, signals <-chan os.Signal) {
	for range signals {
		c, err := gateway.FromFile()
		if err == nil {
			err = g.Reload(c)
		}
		if err != nil {
			slog.Error("not reloaded, the former configuration stays", "why", err)
		}
	}
}
