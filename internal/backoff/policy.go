// Package backoff provides exponential backoff with jitter, so that daemons that
// lost the same service do not all reconnect to it at the same time.
package backoff

import (
	"context"
	"math/rand/v2"
	"time"
)

// Policy defines the delays between retries: they double from Min up to Max, and
// jitter shortens each by up to half.
type Policy struct {
	Min time.Duration
	Max time.Duration
}

// Delay returns the delay before the given retry, counted from 0.
func (p Policy) Delay(retry int) time.Duration {
	d := p.Min
	for i := 0; i < retry && d < p.Max; i++ {
		d *= 2
	}
	return Jitter(min(d, p.Max))
}

// Wait sleeps for the delay before the given retry, counted from 0. It returns
// the context's error if the context ends first.
func (p Policy) Wait(ctx context.Context, retry int) error {
	return Sleep(ctx, p.Delay(retry))
}

// Jitter returns a random duration from d/2 to d.
func Jitter(d time.Duration) time.Duration {
	if d <= 1 {
		return d
	}
	return d/2 + time.Duration(rand.Int64N(int64(d-d/2)))
}

// Sleep waits for d. It returns the context's error if the context ends first.
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

// JitterInterval returns d with a random deviation of up to a tenth in either direction,
// for the intervals of periodic work.
func JitterInterval(d time.Duration) time.Duration {
	if d < 10 {
		return d
	}
	return d - d/10 + time.Duration(rand.Int64N(int64(d/5)))
}
