package gateway_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"magpieglade/gateway"
	"magpieglade/internal/control"
	"magpieglade/internal/operator"
	"magpieglade/internal/store"
	"magpieglade/standin"
)

const (
	clockRateVariable = "MAGPIEGLADE_TEST_RATE"
	diskDelayVariable = "MAGPIEGLADE_TEST_DISK"
)

// runSkewedGateway is the main function of a process that embeds a gateway with a different clock rate and a slow disk,
// neither of which the operating system provides without privileges.
func runSkewedGateway() {
	rate, err := strconv.ParseFloat(os.Getenv(clockRateVariable), 64)
	must(err)
	diskDelay, err := time.ParseDuration(os.Getenv(diskDelayVariable))
	must(err)
	c, err := gateway.FromEnvironment()
	must(err)
	f, err := operator.Read(os.Getenv("EDGE_OPERATOR"))
	must(err)
	f.Apply(&c)
	began := time.Now()
	c.Elapsed = func() time.Duration { return time.Duration(float64(time.Since(began)) * rate) }
	if diskDelay > 0 {
		c.Agreement.FileSystem = &slowDisk{FileSystem: store.System(), maxDelay: diskDelay}
	}
	g, err := gateway.New(c)
	must(err)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	must(control.Serve(ctx, f.ControlSocket, g))
	must(g.Run(ctx))
	os.Exit(0)
}

// slowDisk is the operating system's file system, with a random delay of up to maxDelay in each Sync.
type slowDisk struct {
	store.FileSystem
	maxDelay time.Duration
}

type slowFile struct {
	store.File
	disk *slowDisk
}

func (d *slowDisk) Create(path string) (store.File, error) {
	f, err := d.FileSystem.Create(path)
	return slowFile{f, d}, err
}

func (f slowFile) Sync() error {
	time.Sleep(time.Duration(rand.Int64N(int64(f.disk.maxDelay))))
	return f.File.Sync()
}

// Five processes run with clock rates up to 1.6% apart, which clock_error allows for, three of them with disks that take up
// to 300 ms. One after another is partitioned while it serves and a conflicting change is agreed on. None, not even the one
// with the slowest clock, may act on the former version beyond the stated time, and all must adopt the last version.
func TestAgreementWithClockSkew(t *testing.T) {
	t.Parallel() // it mostly waits for events
	rates := []float64{1.008, 0.992, 1, 1.004, 0.992}
	u := newSkewedAgreementFleet(t, 5, 3, agreementOperatorFile, func(p *process) {
		p.clockRate = rates[p.index]
		if p.index < 3 {
			p.maxDiskDelay = 300 * time.Millisecond
		}
	})
	l := u.startReads()
	all := []int{0, 1, 2, 3, 4}
	longest := time.Duration(0)
	change := func(no, from int) {
		t.Helper()
		u.await(fmt.Sprintf("version %d is agreed on", no), func() bool {
			return strings.Contains(u.apply(from, conflictingChange(no)), fmt.Sprintf("version %d is agreed on", no))
		})
	}
	change(1, 4)
	u.awaitVersion(1, all...)
	for i, isolated := range []int{4, 3, 1} { // a slow clock, a fast one, a slow one of a voter
		no := i + 2
		c := u.front.NewClient(fmt.Sprintf("%08x", 0xcb00+i), standin.TxnTypes{Read: "any", Write: "keyed"})
		if a := c.Read(isolated); a.Code != "" || a.Err != nil {
			t.Fatal(a)
		}
		last, ended := time.Now(), make(chan struct{})
		u.network.Isolate(isolated, true)
		go func() {
			defer close(ended)
			for a := c.Read(isolated); a.Code == "" && a.Err == nil; a = c.Read(isolated) {
				last = time.Now()
			}
		}()
		change(no, (isolated+1)%5)
		agreed := time.Now()
		<-ended
		longest = max(longest, last.Sub(agreed))
		others := []int{}
		for _, x := range all {
			if x != isolated {
				others = append(others, x)
			}
		}
		u.awaitVersion(no, others...)
		u.network.Isolate(isolated, false)
		u.awaitVersion(no, all...)
		c.Close()
	}
	t.Logf("acted on the former version for at most %v, the stated limit is 3s", max(0, longest))
	if longest > 3*time.Second {
		t.Fatal("acted on the former version for ", longest)
	}
	l.finish(t)
	u.await("one history", func() bool {
		history := u.command(0, "config", "history")
		return history == u.command(1, "config", "history") && history == u.command(2, "config", "history")
	})
}
