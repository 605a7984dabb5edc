// Package placement chooses the engine of a request. It holds pure decisions
// and estimators: homes by rendezvous hashing, what engines are known to
// hold, how slow they are, and the predicted cost of a candidate. Nothing in
// it does I/O or reads a clock.
package placement

import (
	"math"
	"time"
)

const (
	// priceIdle and priceFull are the prices of recomputation, in units of
	// waiting time, at an idle and at a full fleet.
	priceIdle = 4.0
	priceFull = 40.0
	// priceSteepness is the power of the load by which the price rises.
	priceSteepness = 8
)

// Price returns the price of a second of recomputation in seconds of waiting.
// It rises with the load of the fleet, 0 to 1, because a copy made under load
// pushes out what others need.
func Price(load float64) float64 {
	load = min(max(load, 0), 1)
	return priceIdle + (priceFull-priceIdle)*math.Pow(load, priceSteepness)
}

// Candidate is what is known of one home of a request.
type Candidate struct {
	// Wait is the predicted time before the engine begins, at normal speed.
	Wait time.Duration
	// Slot is the predicted wait for a slot.
	Slot time.Duration
	// Crowd is the price of holding one of the engine's slots.
	Crowd time.Duration
	// Recompute is the time to compute what the engine is not known to hold,
	// at normal speed.
	Recompute time.Duration
	// Transfer is the time to fetch what another engine holds.
	Transfer time.Duration
	// Slowdown is the engine's observed time over its normal time.
	Slowdown float64
	// Delay is the network delay both ways.
	Delay time.Duration
	// Overrun is how far the engine is behind its predictions.
	Overrun time.Duration
}

// Cost returns the predicted cost of a candidate in seconds.
func (c *Candidate) Cost(price float64) float64 {
	return (c.Delay + c.Overrun + c.Crowd + c.Transfer).Seconds() + c.Slowdown*((c.Wait+c.Slot).Seconds()+price*c.Recompute.Seconds())
}

// FirstToken returns the predicted time to first token.
func (c *Candidate) FirstToken() time.Duration {
	return c.Delay + c.Overrun + c.Transfer + time.Duration(c.Slowdown*float64(c.Wait+c.Slot+c.Recompute))
}
