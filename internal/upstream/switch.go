package upstream

import "context"

// SwitchOrder asks an engine to replace a model's weights in place by another version.
type SwitchOrder struct {
	// Engine is the ID of the only engine that may accept the order; Address is its host:port.
	Engine  string
	Address string
	Model   string
	Version int
	// RunningRequests selects what happens to running requests.
	RunningRequests RunningRequestsPolicy
	// Holder and Fence are the holder and the fencing token of the lease under
	// which the order is given.
	Holder string
	Fence  uint64
	// AfterOrders is the number of orders that the engine must have accepted
	// before, so that a delayed order has no effect.
	AfterOrders int
}

// RunningRequestsPolicy selects what happens to the running requests of an engine that
// switches weights.
type RunningRequestsPolicy int8

const (
	// RunningRequestsContinue means that running requests continue under the new weights.
	RunningRequestsContinue RunningRequestsPolicy = iota
	// RunningRequestsFinish means that running requests finish before the engine switches.
	RunningRequestsFinish
)

// SwitchResult is the result of a weight switch order.
type SwitchResult int8

// Results of a weight switch order.
const (
	// SwitchUnanswered means that no response arrived: the order may have been
	// accepted, or may still be.
	SwitchUnanswered SwitchResult = iota
	// SwitchAccepted means that the engine executes the order.
	SwitchAccepted
	// SwitchAlreadyLoaded means that the engine already has the weights.
	SwitchAlreadyLoaded
	// SwitchConflict means that another order is in progress, or that the
	// engine has accepted another number of orders.
	SwitchConflict
	// SwitchSuperseded means that the engine has seen a higher fencing token.
	SwitchSuperseded
	// SwitchRefused means that the engine did not accept the order for another reason.
	SwitchRefused
)

// String implements fmt.Stringer.
func (r SwitchResult) String() string {
	return [...]string{"unanswered", "accepted", "holds", "conflict", "superseded", "refused"}[r]
}

// SwitchReport is an engine's report of its weights. It may be out of date.
type SwitchReport struct {
	// Versions are the loaded versions by model.
	Versions map[string]int
	// Busy reports that an order is being executed.
	Busy bool
	// Orders counts the accepted orders.
	Orders int
}

// Switches sends weight switch orders to engines that replace weights in place.
type Switches interface {
	// Switch sends an order. The error is nil for SwitchAccepted and
	// SwitchAlreadyLoaded, and gives the cause of any other result.
	Switch(ctx context.Context, o SwitchOrder) (SwitchResult, error)
	// Report reads an engine's loaded weights.
	Report(ctx context.Context, engine, address string) (SwitchReport, error)
}
