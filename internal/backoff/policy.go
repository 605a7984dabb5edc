// Package backoff spaces out repeated tries, with jitter, so that many daemons
// that lost the same service do not return to it at the same moment.
package backoff

import (
	"context"
	"math/rand/v2"
	"time"
)

// Policy gives the pauses between tries: they double from Min to Max, and
// each is shortened at random by up to half.
type Policy struct {
	Min time.Duration
	Max time.Duration
}

// Delay returns the pause after the given try, counted from 0.
func (p Policy) Delay(try int) time.Duration {
	d := p.Min
	for i := 0; i < try && d < p.Max; i++ {
		d *= 2
	}
	return Jitter(min(d, p.Max))
}

// Wait pauses after the given try. It returns the context's error when the
// context ends first.
func (p Policy) Wait(ctx context.Context, try int) error {
	return Sleep(ctx, p.Delay(try))
}

// Jitter returns a random duration between half of d and d.
func Jitter(d time.Duration) time.Duration {
	if d <= 1 {
		return d
	}
	return d/2 + time.Duration(rand.Int64N(int64(d-d/2)))
}

// Sleep pauses for d. It returns the context's error when the context ends first.
func Sleep(ctx context.Context, d time.Duration) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Around returns a random duration within a tenth of d, for periodic work.
func Around(d time.Duration) time.Duration {
	if d < 10 {
		return d
	}
	return d - d/10 + time.Duration(rand.Int64N(int64(d/5)))
}
