package lease

import (
	"time"

	"golang.org/x/sys/unix"
)

// moment is a point in time on two clocks that never jump: the steady one,
// which stands while the machine is suspended, and the one since boot, which
// goes on.
type moment struct {
	steady    time.Time
	sinceBoot time.Duration
}

// sinceBoot returns the time since the machine started, suspensions included.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return 0 // a kernel without that clock: the steady one decides alone
	}
	return time.Duration(t.Nano())
}

func (m moment) add(d time.Duration) moment { return moment{m.steady.Add(d), m.sinceBoot + d} }

// passed reports whether now is after m by either clock.
func (m moment) passed(now moment) bool {
	return !now.steady.Before(m.steady) || now.sinceBoot > m.sinceBoot
}
