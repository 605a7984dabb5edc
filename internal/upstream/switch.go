package upstream

import "context"

// SwitchOrder asks an engine to replace a model's weights by another version.
type SwitchOrder struct {
	// Engine is the only engine that may take the order, Address where it listens.
	Engine  string
	Address string
	Model   string
	Version int
	// Runs says what becomes of the requests that run.
	Runs RunsAtSwitch
	// Holder and Fence are those of the lease under which the order is given.
	Holder string
	Fence  uint64
	// AfterOrders is how many orders the engine must have accepted before, so
	// that an order that arrives late has no effect.
	AfterOrders int
}

// RunsAtSwitch says what becomes of the requests that run at an engine when it
// is ordered to take new weights.
type RunsAtSwitch int8

const (
	// RunsGoOn go on under the new weights.
	RunsGoOn RunsAtSwitch = iota
	// RunsFinish end before the engine takes the new weights.
	RunsFinish
)

// SwitchResult says what became of an order.
type SwitchResult int8

// Results of an order.
const (
	// SwitchUnanswered orders may have been accepted, or may be later.
	SwitchUnanswered SwitchResult = iota
	// SwitchAccepted orders are being carried out.
	SwitchAccepted
	// SwitchHolds means that the engine has the weights.
	SwitchHolds
	// SwitchConflict means that another order is in progress, or that the
	// engine has accepted another number of orders.
	SwitchConflict
	// SwitchSuperseded means that the engine has seen a greater fencing number.
	SwitchSuperseded
	// SwitchRefused orders were not accepted.
	SwitchRefused
)

// String implements fmt.Stringer.
func (r SwitchResult) String() string {
	return [...]string{"unanswered", "accepted", "holds", "conflict", "superseded", "refused"}[r]
}

// SwitchReport is an engine's word on its weights, which lags.
type SwitchReport struct {
	// Versions are the loaded versions by model.
	Versions map[string]int
	// Busy says that an order is being carried out.
	Busy bool
	// Orders counts the accepted orders.
	Orders int
}

// Switches is the port for orders to engines that replace weights in place.
type Switches interface {
	// Switch gives an order. The error explains every result but
	// SwitchAccepted and SwitchHolds.
	Switch(ctx context.Context, o SwitchOrder) (SwitchResult, error)
	// Report asks an engine for its weights.
	Report(ctx context.Context, engine, address string) (SwitchReport, error)
}
