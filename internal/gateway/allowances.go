package gateway

import (
	"context"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/allowance"
	"github.com/verbenabend/verbenabend/internal/backoff"
	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/gossip"
	"github.com/verbenabend/verbenabend/internal/mirror"
	"github.com/verbenabend/verbenabend/internal/routetable"
)

const (
	// allowanceProtocol names the protocol of quotas on the peers' listener.
	allowanceProtocol = "allowance/1"
	// allowanceRefreshInterval is the interval between updates of the buckets' owners.
	allowanceRefreshInterval = 250 * time.Millisecond
	// allowanceResponseTimeout closes a connection to an owner that does not answer. Requests
	// do not wait for that.
	allowanceResponseTimeout = time.Second
	// allowanceIdleTimeout closes a connection without requests; an owner waits longer, so
	// that a request just sent is not lost.
	allowanceIdleTimeout = 15 * time.Second
	// allowanceQueue is how many requests to an owner may wait to be written: one for each
	// organisation is in flight at most.
	allowanceQueue = 256
	// allowanceLogInterval is the minimum interval between log lines of one kind, for an
	// organisation where they concern one.
	allowanceLogInterval = 10 * time.Second
	// maxLoggedFaults bounds the faults in a log line.
	maxLoggedFaults = 5
)

// allowances keeps organisations within their quotas. It implements forward.Allowances.
type allowances struct {
	d *Daemon

	// limited is set while an organisation has a limit.
	limited atomic.Bool

	mu   sync.Mutex
	node *allowance.Node
	// decisions receives those on requests that wait, by ticket.
	decisions map[uint64]chan allowance.Decision
	// conns are the connections to owners, by name; nil once closed.
	conns    map[string]*allowanceConn
	loggedAt map[logKey]time.Time
	// silent are the organisations whose owner does not answer, as was logged.
	silent  map[string]bool
	workers sync.WaitGroup
	ctx     context.Context
	stop    context.CancelFunc
}

type logKey struct {
	event        eventlog.ID
	organisation string
}

func newAllowances(d *Daemon) *allowances {
	a := &allowances{d: d, node: allowance.New(d.settings.Name, d.settings.Quota), decisions: map[uint64]chan allowance.Decision{}, conns: map[string]*allowanceConn{}, loggedAt: map[logKey]time.Time{}, silent: map[string]bool{}}
	a.ctx, a.stop = context.WithCancel(context.Background())
	return a
}

// run keeps the owners of buckets up to date until ctx ends.
func (a *allowances) run(ctx context.Context) error {
	defer a.close()
	for {
		if a.limited.Load() {
			a.refresh()
		}
		if err := backoff.Sleep(ctx, allowanceRefreshInterval); err != nil {
			return err
		}
	}
}

func (a *allowances) close() {
	a.mu.Lock()
	a.conns = nil
	a.mu.Unlock()
	a.stop()
	a.workers.Wait()
}

// setLimits applies a desired state that comes into force.
func (a *allowances) setLimits(table *routetable.Table) {
	limits := map[string]allowance.Limit{}
	for i := range table.Organisations {
		if o := table.Organisation(table.Organisations[i].Name); o.Allowance.Limited() {
			limits[o.Name] = allowance.Limit{PerSecond: o.Allowance.PerSecond, Burst: o.Allowance.Burst}
		}
	}
	if limited := len(limits) > 0; a.limited.Swap(limited) != limited && limited {
		a.refresh() // none was needed before
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	results, owned := a.node.SetLimits(time.Now(), limits)
	a.deliver(results)
	a.logOwned(owned)
	if faults := table.Faults; len(faults) > 0 && a.mayLog(eventlog.AllowanceMalformed, "") {
		a.d.log.Emit(eventlog.AllowanceMalformed, eventlog.Fields{Revision: table.Revision, Detail: strings.Join(faults[:min(len(faults), maxLoggedFaults)], "; ")})
	}
}

// mayLog limits the rate of log lines. a.mu must be held.
func (a *allowances) mayLog(event eventlog.ID, organisation string) bool {
	k, now := logKey{event, organisation}, time.Now()
	if at, logged := a.loggedAt[k]; logged && now.Sub(at) < allowanceLogInterval {
		return false
	}
	a.loggedAt[k] = now
	return true
}

// refresh determines the owners of the buckets anew.
func (a *allowances) refresh() {
	d := a.d
	var f allowance.Fleet
	for _, m := range d.members.Live() {
		if m.Unresponsive {
			f.Lost = append(f.Lost, m.Name)
			continue
		}
		f.Alive = append(f.Alive, m.Name)
		if !m.Draining {
			f.Owners = append(f.Owners, m.Name)
		}
	}
	for _, fact := range d.gossipNode.Facts(gossip.KindDaemon) {
		if info, err := gossip.DecodeDaemonInfo(fact.Value); err == nil && info.Stopped {
			f.Stopped = append(f.Stopped, fact.ID)
		}
	}
	settled := time.Since(d.startedAt) >= allowance.SettleTime || len(d.gossipSeeds()) == 0
	a.mu.Lock()
	defer a.mu.Unlock()
	a.logOwned(a.node.SetFleet(time.Now(), f, settled))
	for _, organisation := range a.node.Organisations() {
		a.send(organisation)
	}
}

func (a *allowances) logOwned(organisations []string) {
	for _, organisation := range organisations {
		a.d.log.Emit(eventlog.AllowanceOwned, eventlog.Fields{Organisation: organisation})
	}
}

// Admit implements forward.Allowances.
func (a *allowances) Admit(ctx context.Context, o *routetable.Organisation, cost float64) (retryAfter time.Duration, ok bool) {
	a.mu.Lock()
	decision := a.node.Admit(time.Now(), o.Name, cost)
	var decided chan allowance.Decision
	if decision.Kind == allowance.Waiting {
		decided = make(chan allowance.Decision, 1)
		a.decisions[decision.Ticket] = decided
	}
	a.send(o.Name)
	a.mu.Unlock()
	if decided != nil {
		decision = a.await(ctx, decision.Ticket, decided)
	}
	return a.record(o.Name, cost, decision)
}

// await returns the decision on a request that waits for the owner's response.
func (a *allowances) await(ctx context.Context, ticket uint64, decided chan allowance.Decision) allowance.Decision {
	timeout := time.NewTimer(allowance.ResponseTimeout)
	defer timeout.Stop()
	select {
	case decision := <-decided:
		return decision
	case <-timeout.C:
	case <-ctx.Done():
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.decisions, ticket)
	if decision, waiting := a.node.Expire(time.Now(), ticket); waiting {
		return decision
	}
	return <-decided // sent before the ticket was given up
}

// record counts and logs a decision.
func (a *allowances) record(organisation string, cost float64, decision allowance.Decision) (retryAfter time.Duration, ok bool) {
	if decision.Kind == allowance.Admitted {
		a.d.metrics.CountQuotaUsed(organisation, cost)
		return 0, true
	}
	a.d.metrics.CountQuotaRejected(organisation)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.mayLog(eventlog.AllowanceExceeded, organisation) {
		a.d.log.Emit(eventlog.AllowanceExceeded, eventlog.Fields{Organisation: organisation, Detail: "retry after " + decision.RetryAfter.String()})
	}
	return decision.RetryAfter, false
}

// Charge implements forward.Allowances.
func (a *allowances) Charge(o *routetable.Organisation, cost float64) {
	a.d.metrics.CountQuotaUsed(o.Name, cost)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.node.Charge(time.Now(), o.Name, cost)
	a.send(o.Name)
}

// Refund implements forward.Allowances.
func (a *allowances) Refund(o *routetable.Organisation, cost float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.node.Refund(time.Now(), o.Name, cost)
}

// Held implements forward.AllowanceHolder.
func (a *allowances) Held(o *routetable.Organisation) (amount float64, owner string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.node.Held(time.Now(), o.Name)
}

func (a *allowances) estimateAge() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.node.EstimateAge(time.Now())
}

// deliver passes decisions to the requests that wait. a.mu must be held.
func (a *allowances) deliver(results []allowance.Result) {
	for _, r := range results {
		if decided := a.decisions[r.Ticket]; decided != nil {
			delete(a.decisions, r.Ticket)
			decided <- r.Decision
		}
	}
}

// send sends the request to an organisation's owner that is due, and logs whether the owner
// answers. a.mu must be held.
func (a *allowances) send(organisation string) {
	if silent := a.node.Silent(organisation); silent != a.silent[organisation] {
		event := eventlog.AllowanceOwnerFound
		if silent {
			event = eventlog.AllowanceOwnerLost
		}
		a.silent[organisation] = silent
		if a.mayLog(event, organisation) {
			a.d.log.Emit(event, eventlog.Fields{Organisation: organisation})
		}
	}
	owner, request, due := a.node.Next(time.Now(), organisation)
	if !due || a.conns == nil {
		return
	}
	c := a.conns[owner]
	if c == nil {
		c = &allowanceConn{owner: owner, requests: make(chan allowance.Request, allowanceQueue), organisations: map[uint64]string{}}
		a.conns[owner] = c
		a.workers.Go(func() { a.runConn(c) })
	}
	c.organisations[request.Seq] = organisation
	select {
	case c.requests <- request:
	default: // the connection does not make progress; it is closed when a response is late
	}
}

// allowanceConn is a connection to an owner.
type allowanceConn struct {
	owner    string
	requests chan allowance.Request
	// organisations are those of the requests in flight; allowances.mu guards it.
	organisations map[uint64]string
}

// runConn sends the requests to an owner until the connection fails or has been idle.
func (a *allowances) runConn(c *allowanceConn) {
	err := a.exchange(c)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conns[c.owner] == c {
		delete(a.conns, c.owner)
	}
	if err != nil || len(c.organisations) > 0 {
		a.deliver(a.node.Lost(time.Now(), c.owner))
	}
}

// exchange writes requests and reads responses. It returns nil after an idle time.
func (a *allowances) exchange(c *allowanceConn) error {
	address := a.address(c.owner)
	if address == "" {
		return errors.New("the owner's address is not known")
	}
	ctx, cancel := context.WithCancel(a.ctx)
	defer cancel()
	dialCtx, cancelDial := context.WithTimeout(ctx, allowance.ResponseTimeout)
	conn, err := a.d.network.Dial(dialCtx, "tcp", address)
	cancelDial()
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	if err := mirror.StartProtocol(conn, allowanceProtocol, a.d.settings.Name); err != nil {
		return err
	}
	var reader sync.WaitGroup
	defer reader.Wait()
	defer cancel()
	reader.Go(func() {
		defer cancel()
		a.readResponses(c, conn)
	})
	idle := time.NewTimer(allowanceIdleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-idle.C:
			return nil
		case q := <-c.requests:
			idle.Reset(allowanceIdleTimeout)
			a.mu.Lock()
			err := conn.SetDeadline(time.Now().Add(allowanceResponseTimeout))
			a.mu.Unlock()
			if err != nil {
				return err
			}
			if err := allowance.WriteFrame(conn, &q); err != nil {
				return err
			}
		}
	}
}

// readResponses applies an owner's responses until the connection fails.
func (a *allowances) readResponses(c *allowanceConn, conn net.Conn) {
	for {
		var r allowance.Response
		if allowance.ReadFrame(conn, &r) != nil {
			return
		}
		a.mu.Lock()
		organisation := c.organisations[r.Seq]
		delete(c.organisations, r.Seq)
		if len(c.organisations) == 0 {
			_ = conn.SetDeadline(time.Time{}) // fails only on a closed connection
		}
		a.deliver(a.node.Receive(time.Now(), organisation, c.owner, &r))
		a.send(organisation)
		a.mu.Unlock()
	}
}

// address returns the address at which a daemon serves its peers, empty if it is not known.
func (a *allowances) address(daemon string) string {
	for _, n := range a.d.copySources() {
		if n.Name == daemon {
			return n.Address
		}
	}
	return ""
}

// serve answers another daemon's requests on a connection.
func (a *allowances) serve(conn net.Conn, peer string) {
	for {
		var q allowance.Request
		if conn.SetDeadline(time.Now().Add(2*allowanceIdleTimeout)) != nil || allowance.ReadFrame(conn, &q) != nil {
			return // the peer disconnected or sent an invalid frame
		}
		a.mu.Lock()
		r := a.node.Serve(time.Now(), peer, &q)
		a.mu.Unlock()
		if allowance.WriteFrame(conn, &r) != nil {
			return
		}
	}
}
