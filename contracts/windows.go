package contracts

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"
	_ "time/tzdata" // windows are in zones' times, wherever a gateway runs
)

// Window is a span of time, or a series of them, in a zone's own time: one that starts at 20:00 each day does so also after
// the clocks were changed.
type Window struct {
	Zone   string   `json:"zone"`             // as in "Europe/Paris"
	Start  string   `json:"start"`            // as in "2026-06-14 20:00"
	Length int64    `json:"length"`           // nanoseconds, as they go by
	Every  string   `json:"every,omitempty"`  // "day" or "week"; empty is once
	Until  string   `json:"until,omitempty"`  // the last date of a series, as in "2026-07-19"
	Except []string `json:"except,omitempty"` // dates on which it is not
}

const (
	startLayout    = "2006-01-02 15:04"
	dateLayout     = "2006-01-02"
	maxOccurrences = 2000 // of a series
)

// zones are those that were read: each is some thousands of bytes of a table.
var zoneCache sync.Map

func location(name string) (*time.Location, error) {
	if z, ok := zoneCache.Load(name); ok {
		return z.(*time.Location), nil
	}
	z, err := time.LoadLocation(name)
	if err == nil {
		zoneCache.Store(name, z)
	}
	return z, err
}

// Span is one window: Start within, End not.
type TimeRange struct{ Start, End int64 }

// Check names what is wrong with it.
func (w *Window) Check() error {
	zone, err := location(w.Zone)
	if w.Zone == "" || err != nil {
		return fmt.Errorf("%q is no time zone; write it as Europe/Paris", w.Zone)
	}
	start, err := time.ParseInLocation(startLayout, w.Start, zone)
	if err != nil {
		return fmt.Errorf("start %q is no time; write it as 2026-06-14 20:00", w.Start)
	}
	if start.Format(startLayout) != w.Start {
		return fmt.Errorf("there is no %s in %s: clocks are put forward over it", w.Start, w.Zone)
	}
	if w.Length < int64(time.Minute) || w.Length > int64(31*24*time.Hour) {
		return errors.New("its length is from 1m to 744h")
	}
	switch w.Every {
	case "":
		if w.Until != "" || len(w.Except) > 0 {
			return errors.New("until and except are of a series: say every = \"day\" or \"week\"")
		}
		return nil
	case "day", "week":
	default:
		return fmt.Errorf("every is \"day\" or \"week\", not %q", w.Every)
	}
	if w.Length > int64(w.stepDays())*int64(24*time.Hour) {
		return errors.New("one of the series begins before the one before ends")
	}
	until, err := time.ParseInLocation(dateLayout, w.Until, zone)
	if err != nil {
		return fmt.Errorf("until %q is no date; write it as 2026-07-19", w.Until)
	}
	if until.Before(start.Truncate(24 * time.Hour).Add(-24 * time.Hour)) {
		return errors.New("it ends before it begins")
	}
	if int(until.Sub(start).Hours()/24)/w.stepDays() >= maxOccurrences {
		return fmt.Errorf("it has more than %d windows", maxOccurrences)
	}
	for _, d := range w.Except {
		if _, err := time.Parse(dateLayout, d); err != nil {
			return fmt.Errorf("except %q is no date; write it as 2026-07-14", d)
		}
	}
	return nil
}

func (w *Window) stepDays() int {
	if w.Every == "week" {
		return 7
	}
	return 1
}

// Spans are those that touch a span, of a window that passed its check. A start that the clocks skip on its day is as much
// later as they skip.
func (w *Window) Occurrences(from, to int64) (all []TimeRange) {
	zone, err := location(w.Zone)
	if err != nil {
		return nil
	}
	first, err := time.ParseInLocation(startLayout, w.Start, zone)
	if err != nil {
		return nil
	}
	times, i := 1, 0
	if w.Every != "" { // from two before the first that may touch it: days are not all as long
		times, i = maxOccurrences, max(0, int((from-first.UnixNano()-w.Length)/int64(24*time.Hour))/w.stepDays()-2)
	}
	for ; i < times; i++ {
		at := time.Date(first.Year(), first.Month(), first.Day()+i*w.stepDays(), first.Hour(), first.Minute(), 0, 0, zone)
		day := time.Date(first.Year(), first.Month(), first.Day()+i*w.stepDays(), 0, 0, 0, 0, time.UTC).Format(dateLayout)
		if w.Every != "" && day > w.Until || at.UnixNano() >= to {
			break
		}
		if s := (TimeRange{at.UnixNano(), at.UnixNano() + w.Length}); s.End > from && !slices.Contains(w.Except, day) {
			all = append(all, s)
		}
	}
	return all
}
