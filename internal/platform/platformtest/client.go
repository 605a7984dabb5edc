package platformtest

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/backoff"
	"github.com/verbenabend/verbenabend/internal/platform"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

// Fault is a fault injected into one call of a Client.
type Fault int8

const (
	// NoFault lets the call through.
	NoFault Fault = iota
	// Refuse fails the call without effect, with verdict.NotRun.
	Refuse
	// LoseRequest fails the call without effect, with verdict.MayHaveRun.
	LoseRequest
	// LoseResponse executes the call, then fails it with verdict.MayHaveRun.
	LoseResponse
	// LateEffect fails the call with verdict.MayHaveRun and executes it after the
	// client's late delay. Reads fail as with LoseRequest.
	LateEffect
	// KillBefore kills the client before the call is executed.
	KillBefore
	// KillAfter kills the client after the call was executed.
	KillAfter
	// FaultCount is the number of Fault values.
	FaultCount
)

// DefaultLateDelay is the time from the failure of a call with LateEffect to its
// effect, unless SetLateDelay sets another.
const DefaultLateDelay = 700 * time.Millisecond

// Client is one daemon's connection to a Platform. It implements platform.Table
// and platform.Instances; Objects returns its object store.
type Client struct {
	platform *Platform
	eras     platform.Eras

	mu            sync.Mutex
	plannedFaults []Fault
	tableDown     bool
	objectsDown   bool
	unresponsive  bool
	killed        bool
	delay         time.Duration
	lateDelay     time.Duration
}

// Objects returns the client's object store.
func (c *Client) Objects() Objects { return Objects{client: c} }

// QueueFaults queues faults for the next calls, one per call.
func (c *Client) QueueFaults(faults ...Fault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.plannedFaults = append(c.plannedFaults, faults...)
}

// ClearFaults discards the queued faults.
func (c *Client) ClearFaults() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.plannedFaults = nil
}

// SetDown makes the table (with the instance list) and the object store refuse
// or accept connections.
func (c *Client) SetDown(table, objects bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tableDown, c.objectsDown = table, objects
}

// SetUnresponsive makes all calls hang until their context ends.
func (c *Client) SetUnresponsive(unresponsive bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unresponsive = unresponsive
}

// SetDelay makes each call take d, half of it before it is executed.
func (c *Client) SetDelay(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delay = d
}

// SetLateDelay sets the time from the failure of a call with LateEffect to its
// effect.
func (c *Client) SetLateDelay(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lateDelay = d
}

// Kill makes all later calls fail without effect, as if the daemon had crashed.
func (c *Client) Kill() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.killed = true
}

// Killed reports whether the client was killed.
func (c *Client) Killed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.killed
}

// Get implements platform.Table.
func (c *Client) Get(ctx context.Context, key string) (row platform.Row, err error) {
	era := uint64(0)
	err = c.read(ctx, &c.tableDown, func() (e error) { row, e = c.platform.get(key); era = row.Era; return e })
	return row, c.observe(era, err)
}

// Eras implements platform.EraTable.
func (c *Client) Eras() *platform.Eras { return &c.eras }

// observe notes the era of a response, and discards one of an older era.
func (c *Client) observe(era uint64, err error) error {
	if err != nil && !errors.IsAny(err, platform.ErrNotFound, platform.ErrConflict) {
		return err // no response
	}
	if _, old := c.eras.Accept(era, true); old != nil {
		return old
	}
	return err
}

// List implements platform.Table.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) (rows []platform.Row, err error) {
	era := uint64(0)
	err = c.read(ctx, &c.tableDown, func() error {
		rows, era = c.platform.list(prefix, after, limit), c.platform.currentEra()
		return nil
	})
	return rows, c.observe(era, err)
}

// Commit implements platform.Table.
func (c *Client) Commit(ctx context.Context, txn platform.Txn) error {
	_, err := c.CommitVersion(ctx, txn)
	return err
}

// CommitVersion implements platform.VersionedTable.
func (c *Client) CommitVersion(ctx context.Context, txn platform.Txn) (platform.Position, error) {
	if err := c.eras.CheckConditions(txn.Era); err != nil {
		return platform.Position{}, err
	}
	var mu sync.Mutex // a late effect comes when the call has ended
	var written platform.Position
	err := c.call(ctx, &c.tableDown, true, func() error {
		at, err := c.platform.commit(txn)
		mu.Lock()
		defer mu.Unlock()
		written = at
		return err
	})
	mu.Lock()
	at := written
	mu.Unlock()
	if err != nil && !errors.Is(err, platform.ErrConflict) {
		return platform.Position{}, err // no response
	}
	if err := c.observe(at.Era, err); err != nil {
		return platform.Position{}, err
	}
	if err := platform.CheckCommitted(txn.Era, at.Era); err != nil {
		return platform.Position{}, err
	}
	if at.Era == 0 {
		return platform.Position{}, nil // a platform without eras does not tell versions either
	}
	return at, nil
}

// ListInstances implements platform.Instances.
func (c *Client) ListInstances(ctx context.Context) (list []platform.Instance, err error) {
	err = c.read(ctx, &c.tableDown, func() error { list = c.platform.listInstances(); return nil })
	return list, err
}

// read executes a call without side effects.
func (c *Client) read(ctx context.Context, down *bool, effect func() error) error {
	return c.call(ctx, down, false, effect)
}

func (c *Client) write(ctx context.Context, effect func() error) error {
	return c.call(ctx, &c.objectsDown, true, effect)
}

func (c *Client) call(ctx context.Context, down *bool, writes bool, effect func() error) error {
	fault, delay, err := c.nextFault(ctx, down)
	if err != nil {
		return err
	}
	if fault == LateEffect && !writes {
		fault = LoseRequest
	}
	if backoff.Sleep(ctx, delay/2) != nil {
		return noResponse()
	}
	return c.execute(ctx, fault, delay, effect)
}

func (c *Client) execute(ctx context.Context, fault Fault, delay time.Duration, effect func() error) error {
	switch fault {
	case Refuse:
		return refused()
	case LoseRequest:
		return noResponse()
	case LateEffect:
		c.mu.Lock()
		time.AfterFunc(max(c.lateDelay, time.Nanosecond), func() { _ = effect() })
		c.mu.Unlock()
		return noResponse()
	case KillBefore:
		c.Kill()
		return noResponse()
	}
	if c.Killed() {
		return noResponse()
	}
	err := effect()
	if fault == KillAfter {
		c.Kill()
	}
	if fault != NoFault || backoff.Sleep(ctx, delay-delay/2) != nil {
		return noResponse()
	}
	return err
}

// nextFault takes the next planned fault, and fails the call if the client is
// killed, unresponsive or down.
func (c *Client) nextFault(ctx context.Context, down *bool) (Fault, time.Duration, error) {
	c.mu.Lock()
	unresponsive, refuse, killed, delay := c.unresponsive, *down, c.killed, c.delay
	fault := NoFault
	if len(c.plannedFaults) > 0 {
		fault, c.plannedFaults = c.plannedFaults[0], c.plannedFaults[1:]
	}
	c.mu.Unlock()
	switch {
	case killed:
		return 0, 0, noResponse()
	case unresponsive:
		<-ctx.Done()
		return 0, 0, noResponse()
	case refuse || ctx.Err() != nil:
		return 0, 0, refused()
	}
	return fault, delay, nil
}

func refused() error {
	return verdict.New(verdict.NotRun, verdict.CodePlatformUnavailable, "connection refused")
}

func noResponse() error {
	return verdict.New(verdict.MayHaveRun, verdict.CodePlatformUnavailable, "no response")
}
