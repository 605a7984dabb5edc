package routing

import (
	"math"
	"time"
)

// dispatchRateTimeConstant is the time constant of dispatchRate.
const dispatchRateTimeConstant = 2 * time.Second

// dispatchRate measures how much work starts per second, with exponential decay.
type dispatchRate struct {
	work      float64
	updatedAt time.Time
}

func (d *dispatchRate) add(now time.Time, work float64) {
	d.work = d.decayed(now) + work
	d.updatedAt = now
}

func (d *dispatchRate) perSecond(now time.Time) float64 {
	return d.decayed(now) / dispatchRateTimeConstant.Seconds()
}

func (d *dispatchRate) decayed(now time.Time) float64 {
	if d.work == 0 {
		return 0
	}
	return d.work * math.Exp(-now.Sub(d.updatedAt).Seconds()/dispatchRateTimeConstant.Seconds())
}
