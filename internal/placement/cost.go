// Package placement provides the estimates by which the engine of a request is
// chosen: homes by rendezvous hashing, hints of which prefixes engines hold,
// speed and slowdown of engines, and the predicted cost of a candidate. Nothing
// in it does I/O or reads a clock.
package placement

import (
	"math"
	"time"
)

const (
	// recomputePriceIdle and recomputePriceFull are the prices of a second of
	// recomputation, in seconds of waiting, at an idle and at a full fleet.
	recomputePriceIdle = 4.0
	recomputePriceFull = 40.0
	// recomputePriceExponent is the power of the load that the price grows with.
	recomputePriceExponent = 8
)

// RecomputePrice returns the price of a second of recomputation in seconds of
// waiting. It rises with the load of the fleet, 0 to 1, because a further copy of a
// prompt evicts others that are needed under load.
func RecomputePrice(load float64) float64 {
	load = min(max(load, 0), 1)
	return recomputePriceIdle + (recomputePriceFull-recomputePriceIdle)*math.Pow(load, recomputePriceExponent)
}

// Candidate holds the estimates for one home of a request.
type Candidate struct {
	// Wait is the predicted time before the engine begins prefill, at normal speed.
	Wait time.Duration
	// SlotWait is the predicted wait for a slot.
	SlotWait time.Duration
	// SlotPrice is the price of holding one of the engine's slots, as time.
	SlotPrice time.Duration
	// Recompute is the time to compute the tokens that the engine is not expected
	// to hold, at normal speed.
	Recompute time.Duration
	// Transfer is the time to fetch cached tokens from another engine or a store.
	Transfer time.Duration
	// Slowdown is the ratio of the engine's observed to its normal time.
	Slowdown float64
	// Delay is the network delay both ways.
	Delay time.Duration
	// Overrun is how much later than predicted the engine's next first token is.
	Overrun time.Duration
}

// Cost returns the predicted cost of a candidate in seconds of waiting. price is
// the price of a second of recomputation.
func (c *Candidate) Cost(price float64) float64 {
	return (c.Delay + c.Overrun + c.SlotPrice + c.Transfer).Seconds() + c.Slowdown*((c.Wait+c.SlotWait).Seconds()+price*c.Recompute.Seconds())
}

// FirstToken returns the predicted time to first token.
func (c *Candidate) FirstToken() time.Duration {
	return c.Delay + c.Overrun + c.Transfer + time.Duration(c.Slowdown*float64(c.Wait+c.SlotWait+c.Recompute))
}
