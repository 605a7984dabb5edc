package gossip

import (
	"bufio"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxBatchBytes bounds the encoded facts of one frame.
	maxBatchBytes = 32 << 10
	// maxQueuedControl bounds the control messages queued on a connection.
	maxQueuedControl = 64
	// budgetRetryInterval is how long a writer waits when the send budget is used up.
	budgetRetryInterval = 200 * time.Millisecond
	// pruneTTL is how long a prune is in force; it bounds the effect of a wrong one.
	pruneTTL = 2 * time.Minute
)

// pendingFact is a queued fact.
type pendingFact struct {
	queuedAt time.Time
	// forceValue is set if the value is sent even though it is unchanged.
	forceValue bool
}

// conn is an authenticated connection to a peer. The node's mutex guards its
// mutable fields.
type conn struct {
	node     *Node
	nc       net.Conn
	reader   *bufio.Reader
	session  *session
	outbound bool
	openedAt time.Time

	pending      [priorityCount]map[factKey]pendingFact
	control      []*message
	prunedUntil  map[string]time.Time
	flushAt      time.Time
	summaryAt    time.Time
	lastSent     time.Time
	lastReceived time.Time
	// peerStamp is the greatest Sent received from the peer.
	peerStamp stamp
	// expectedClose is set when this end closes the connection by choice; the
	// close is then not logged as a lost peer.
	expectedClose bool

	wake      chan struct{}
	done      chan struct{}
	closeOnce sync.Once
}

func newConn(n *Node, nc net.Conn, r *bufio.Reader, s *session, outbound bool) *conn {
	now := time.Now()
	c := &conn{
		node: n, nc: nc, reader: r, session: s, outbound: outbound, openedAt: now, lastSent: now, lastReceived: now,
		summaryAt: now.Add(n.cfg.SummaryInterval), prunedUntil: map[string]time.Time{},
		wake: make(chan struct{}, 1), done: make(chan struct{}),
	}
	for i := range c.pending {
		c.pending[i] = map[factKey]pendingFact{}
	}
	return c
}

func (c *conn) peerName() string { return c.session.peer.Name }

func (c *conn) close() {
	c.closeOnce.Do(func() {
		close(c.done)
		_ = c.nc.Close()
	})
}

func (c *conn) wakeWriter() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// queueFact queues the stored fact of key k for sending. A fact that
// is already queued keeps its queuing time.
func (c *conn) queueFact(k factKey, now time.Time, forceValue bool) {
	e, ok := c.node.store.byKey[k]
	if !ok {
		return
	}
	p := priorityOf(k.kind, len(e.fact.Value))
	old, alreadyQueued := c.pending[p][k]
	if !alreadyQueued {
		old.queuedAt = now
	}
	c.pending[p][k] = pendingFact{queuedAt: old.queuedAt, forceValue: old.forceValue || forceValue}
	if flushAt := now.Add(c.flushDelay(e)); c.flushAt.IsZero() || flushAt.Before(c.flushAt) {
		c.flushAt = flushAt
	}
	c.wakeWriter()
}

// newFactDelayDivisor divides the flush interval for facts with new values;
// renewals and load figures wait for the whole interval.
const newFactDelayDivisor = 10

// flushDelay returns how long a fact may wait to share a frame with others.
func (c *conn) flushDelay(e *entry) time.Duration {
	delay := c.node.cfg.FlushInterval
	if e.fact.Kind == KindLoad || e.fact.Kind == KindAnnouncement || e.valueUnchanged {
		return delay
	}
	return delay / newFactDelayDivisor
}

// queueControl queues a control message, or drops it if the queue is full:
// control messages are best effort.
func (c *conn) queueControl(m *message) {
	if len(c.control) < maxQueuedControl {
		c.control = append(c.control, m)
		c.wakeWriter()
	}
}

// isPruned reports whether the peer asked not to be sent periodic facts of origin.
func (c *conn) isPruned(origin string, now time.Time) bool {
	until, ok := c.prunedUntil[origin]
	if ok && now.After(until) {
		delete(c.prunedUntil, origin)
		return false
	}
	return ok
}

func (c *conn) queuesEmpty() bool {
	for _, p := range c.pending {
		if len(p) > 0 {
			return false
		}
	}
	return len(c.control) == 0
}

// writeLoop sends frames until the connection is closed.
func (c *conn) writeLoop() {
	defer c.close()
	timer := time.NewTimer(time.Nanosecond)
	defer timer.Stop()
	for {
		payload, wait, stop := c.node.nextPayload(c, time.Now())
		if stop {
			return
		}
		if payload != nil {
			if err := c.writeFrame(payload); err != nil {
				return
			}
			continue
		}
		timer.Reset(max(wait, time.Nanosecond))
		select {
		case <-c.done:
			return
		case <-c.wake:
		case <-timer.C:
		}
	}
}

func (c *conn) writeFrame(payload []byte) error {
	_ = c.nc.SetWriteDeadline(time.Now().Add(c.node.cfg.IdleTimeout))
	_, err := c.nc.Write(c.session.send.sign(payload))
	return err
}

// readLoop handles frames until the connection is closed or the idle timeout expires.
func (c *conn) readLoop() error {
	for {
		_ = c.nc.SetReadDeadline(time.Now().Add(c.node.cfg.IdleTimeout))
		m, err := c.readMessage()
		if err != nil {
			return err
		}
		c.node.handle(c, m)
	}
}

func (c *conn) readMessage() (*message, error) {
	body, err := readBody(c.reader, maxFrameBytes+tagBytes)
	if err != nil {
		return nil, err
	}
	payload, err := c.session.receive.verify(body)
	if err != nil {
		return nil, err
	}
	c.node.receivedBytes.Add(int64(lengthPrefixBytes + len(body)))
	m, err := decodeMessage(payload, c.session.version)
	if err == nil && len(m.Touches) > 0 && c.session.version < VersionTouch {
		return nil, errors.Wrapf(errMalformed, "touch message in protocol version %d", c.session.version)
	}
	return m, err
}

// nextPayload returns the next payload to write on c, or nil and how long to
// wait for one. stop is true when the node closes and nothing is queued.
func (n *Node) nextPayload(c *conn, now time.Time) (payload []byte, wait time.Duration, stop bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	m := n.nextMessage(c, now)
	if m == nil {
		if n.closing && c.queuesEmpty() {
			return nil, 0, true
		}
		return nil, n.writerWait(c, now), false
	}
	m.At, m.Sent, m.Echo = n.clock.Now(), n.stamp(), c.peerStamp
	payload = m.encode(c.session.version)
	size := len(payload) + frameOverhead
	n.budget.spend(size)
	n.sentBytes.Add(int64(size))
	c.lastSent = now
	return payload, 0, false
}

func (n *Node) nextMessage(c *conn, now time.Time) *message {
	if m := n.nextFactBatch(c, now, priorityUrgent, priorityUrgent); m != nil {
		return m
	}
	if len(c.control) > 0 && n.budget.available(priorityDaemon, now) > 0 {
		m := c.control[0]
		c.control = c.control[1:]
		return m
	}
	if !c.flushAt.IsZero() && (n.closing || !now.Before(c.flushAt)) {
		if m := n.nextFactBatch(c, now, priorityDaemon, priorityLoad); m != nil {
			return m
		}
		c.flushAt = time.Time{}
		if !c.queuesEmpty() {
			c.flushAt = now.Add(budgetRetryInterval)
		}
	}
	if now.Sub(c.lastSent) >= n.cfg.Heartbeat {
		return &message{Type: messageHeartbeat}
	}
	return nil
}

func (n *Node) writerWait(c *conn, now time.Time) time.Duration {
	wait := n.cfg.Heartbeat - now.Sub(c.lastSent)
	if !c.flushAt.IsZero() {
		wait = min(wait, c.flushAt.Sub(now))
	}
	if len(c.control) > 0 || len(c.pending[priorityUrgent]) > 0 {
		wait = min(wait, budgetRetryInterval)
	}
	return max(wait, time.Millisecond)
}

// nextFactBatch dequeues the facts of priorities first to last that the send
// budget allows; it returns nil if there are none.
func (n *Node) nextFactBatch(c *conn, now time.Time, first, last priority) *message {
	m := &message{Type: messageFacts}
	size := frameOverhead
	for p := first; p <= last; p++ {
		available := min(n.budget.available(p, now), maxBatchBytes)
		for k, pending := range c.pending[p] {
			e, ok := n.store.byKey[k]
			if !ok || (p == priorityLoad && now.Sub(pending.queuedAt) > maxLoadAge) {
				delete(c.pending[p], k)
				continue
			}
			cost := m.appendEntry(c, e, pending.forceValue, now, available-size)
			if cost == 0 {
				break
			}
			size += cost
			delete(c.pending[p], k)
		}
	}
	if len(m.Facts)+len(m.Touches) == 0 {
		return nil
	}
	return m
}

// Upper bounds of encoded sizes: of a fact without its strings and value, and
// of a touch.
const (
	factOverheadBytes = 40
	touchBytes        = 32
)

// appendEntry adds e to the frame and returns its encoded size, or returns 0 if
// e takes more than the available bytes or the frame is full.
func (m *message) appendEntry(c *conn, e *entry, forceValue bool, now time.Time, available int) int {
	if len(m.Facts)+len(m.Touches) >= maxFrameFacts {
		return 0
	}
	if e.valueUnchanged && !forceValue && c.session.version >= VersionTouch {
		if touchBytes > available {
			return 0
		}
		m.Touches = append(m.Touches, touch{KeyHash: e.keyHash, Version: e.fact.Version, TTL: e.expires.Sub(now), ValueHash: e.valueHash})
		return touchBytes
	}
	cost := factOverheadBytes + len(e.fact.ID) + len(e.fact.Origin) + len(e.fact.Value)
	if cost > available {
		return 0
	}
	m.Facts = append(m.Facts, e.withRemainingTTL(now))
	return cost
}
