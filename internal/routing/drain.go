package routing

import (
	"math"
	"time"
)

// drainMemory is the time constant of the measured drain.
const drainMemory = 2 * time.Second

// drain measures the work that starts a second.
type drain struct {
	sum float64
	at  time.Time
}

func (d *drain) started(now time.Time, work float64) {
	d.sum = d.decayed(now) + work
	d.at = now
}

func (d *drain) rate(now time.Time) float64 { return d.decayed(now) / drainMemory.Seconds() }

func (d *drain) decayed(now time.Time) float64 {
	if d.sum == 0 {
		return 0
	}
	return d.sum * math.Exp(-now.Sub(d.at).Seconds()/drainMemory.Seconds())
}
