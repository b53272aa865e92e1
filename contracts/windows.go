package contracts

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"
	_ "time/tzdata" // windows use zones' local times, and the machine may lack the zone database
)

// Window is a time range or a recurring series of them in a time zone's local time: a window that starts at
// 20:00 each day also does so after a daylight saving change.
type Window struct {
	Zone   string   `json:"zone"`             // such as "Europe/Paris"
	Start  string   `json:"start"`            // such as "2026-06-14 20:00"
	Length int64    `json:"length"`           // elapsed nanoseconds
	Every  string   `json:"every,omitempty"`  // "day" or "week"; empty means once
	Until  string   `json:"until,omitempty"`  // last date of a series, such as "2026-07-19"
	Except []string `json:"except,omitempty"` // excluded dates
}

const (
	startLayout    = "2006-01-02 15:04"
	dateLayout     = "2006-01-02"
	maxOccurrences = 2000 // of a series
)

// zoneCache holds loaded time zones, as each takes some thousands of bytes to parse.
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

// TimeRange is one window; Start is inclusive, End exclusive.
type TimeRange struct{ Start, End int64 }

// Check reports the first invalid field.
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

// Occurrences returns the windows that overlap a time range, for a Window that passed Check. A start that a
// daylight saving change skips on its day moves later by the skipped time.
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
	if w.Every != "" { // start two occurrences early, as days differ in length
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
