package gossip

import (
	"bufio"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxBatchBytes bounds the facts of one frame.
	maxBatchBytes = 32 << 10
	// maxControl bounds the control messages that wait on a connection.
	maxControl = 64
	// refillPause is how long a writer waits when the byte budget is used up.
	refillPause = 200 * time.Millisecond
	// pruneLife is how long a prune holds; it bounds the harm of a wrong one.
	pruneLife = 2 * time.Minute
)

// pendingFact is a fact that waits to be sent.
type pendingFact struct {
	since time.Time
	// whole facts are sent with their value even if it did not change.
	whole bool
}

// conn is an authenticated connection to a peer. Its mutable fields are
// guarded by the node's mutex.
type conn struct {
	node     *Node
	nc       net.Conn
	reader   *bufio.Reader
	session  *session
	outbound bool
	since    time.Time

	pending   [priorities]map[factKey]pendingFact
	control   []*message
	pruned    map[string]time.Time
	flushAt   time.Time
	summaryAt time.Time
	lastSent  time.Time
	lastHeard time.Time
	// surplus connections are closed on purpose.
	surplus bool

	wake  chan struct{}
	done  chan struct{}
	close sync.Once
}

func newConn(n *Node, nc net.Conn, r *bufio.Reader, s *session, outbound bool) *conn {
	now := time.Now()
	c := &conn{
		node: n, nc: nc, reader: r, session: s, outbound: outbound, since: now, lastSent: now, lastHeard: now,
		summaryAt: now.Add(n.cfg.SummaryInterval), pruned: map[string]time.Time{},
		wake: make(chan struct{}, 1), done: make(chan struct{}),
	}
	for i := range c.pending {
		c.pending[i] = map[factKey]pendingFact{}
	}
	return c
}

func (c *conn) name() string { return c.session.peer.Name }

func (c *conn) shut() {
	c.close.Do(func() {
		close(c.done)
		_ = c.nc.Close()
	})
}

func (c *conn) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// queue marks a fact to be sent.
func (c *conn) queue(k factKey, now time.Time, whole bool) {
	e, ok := c.node.store.byKey[k]
	if !ok {
		return
	}
	p := priorityOf(k.kind, len(e.fact.Value))
	old, known := c.pending[p][k]
	if !known {
		old.since = now
	}
	c.pending[p][k] = pendingFact{since: old.since, whole: old.whole || whole}
	if at := now.Add(c.flushDelay(e)); c.flushAt.IsZero() || at.Before(c.flushAt) {
		c.flushAt = at
	}
	c.signal()
}

// promptShare is the part of the flush interval that news may wait; what only
// renews a fact waits for all of it.
const promptShare = 10

// flushDelay is how long a fact may wait for others to share its frame.
func (c *conn) flushDelay(e *entry) time.Duration {
	delay := c.node.cfg.FlushInterval
	if e.fact.Kind == KindLoad || e.touched {
		return delay
	}
	return delay / promptShare
}

// send queues a control message; they are hints and dropped when too many wait.
func (c *conn) send(m *message) {
	if len(c.control) < maxControl {
		c.control = append(c.control, m)
		c.signal()
	}
}

// prunes reports whether the peer asked not to be sent routine facts of origin.
func (c *conn) prunes(origin string, now time.Time) bool {
	until, ok := c.pruned[origin]
	if ok && now.After(until) {
		delete(c.pruned, origin)
		return false
	}
	return ok
}

func (c *conn) idle() bool {
	for _, p := range c.pending {
		if len(p) > 0 {
			return false
		}
	}
	return len(c.control) == 0
}

// write sends frames until the connection ends.
func (c *conn) write() {
	defer c.shut()
	timer := time.NewTimer(time.Nanosecond)
	defer timer.Stop()
	for {
		payload, wait, stop := c.node.next(c, time.Now())
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
	_, err := c.nc.Write(c.session.send.seal(payload))
	return err
}

// read handles frames until the connection ends or falls silent.
func (c *conn) read() error {
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
	payload, err := c.session.receive.open(body)
	if err != nil {
		return nil, err
	}
	c.node.received.Add(int64(lengthBytes + len(body)))
	m, err := decodeMessage(payload)
	if err == nil && len(m.Touches) > 0 && c.session.version < VersionTouch {
		return nil, errors.Wrapf(errMalformed, "touch in version %d", c.session.version)
	}
	return m, err
}

// next returns the next payload to write on c, or how long to wait for one.
func (n *Node) next(c *conn, now time.Time) (payload []byte, wait time.Duration, stop bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	m := n.nextMessage(c, now)
	if m == nil {
		if n.closing && c.idle() {
			return nil, 0, true
		}
		return nil, n.writerPause(c, now), false
	}
	m.At = n.clock.Now()
	payload = m.encode()
	size := len(payload) + frameOverhead
	n.budget.take(size)
	n.sent.Add(int64(size))
	c.lastSent = now
	return payload, 0, false
}

func (n *Node) nextMessage(c *conn, now time.Time) *message {
	if m := n.batch(c, now, priorityUrgent, priorityUrgent); m != nil {
		return m
	}
	if len(c.control) > 0 && n.budget.room(priorityDaemon, now) > 0 {
		m := c.control[0]
		c.control = c.control[1:]
		return m
	}
	if !c.flushAt.IsZero() && (n.closing || !now.Before(c.flushAt)) {
		if m := n.batch(c, now, priorityDaemon, priorityLoad); m != nil {
			return m
		}
		c.flushAt = time.Time{}
		if !c.idle() {
			c.flushAt = now.Add(refillPause)
		}
	}
	if now.Sub(c.lastSent) >= n.cfg.Heartbeat {
		return &message{Type: messageHeartbeat}
	}
	return nil
}

func (n *Node) writerPause(c *conn, now time.Time) time.Duration {
	pause := n.cfg.Heartbeat - now.Sub(c.lastSent)
	if !c.flushAt.IsZero() {
		pause = min(pause, c.flushAt.Sub(now))
	}
	if len(c.control) > 0 || len(c.pending[priorityUrgent]) > 0 {
		pause = min(pause, refillPause)
	}
	return max(pause, time.Millisecond)
}

// batch takes pending facts of the priorities first to last that the byte
// budget allows; nil if there are none.
func (n *Node) batch(c *conn, now time.Time, first, last priority) *message {
	m := &message{Type: messageFacts}
	size := frameOverhead
	for p := first; p <= last; p++ {
		room := min(n.budget.room(p, now), maxBatchBytes)
		for k, pf := range c.pending[p] {
			e, ok := n.store.byKey[k]
			if !ok || (p == priorityLoad && now.Sub(pf.since) > maxLoadInterval) {
				delete(c.pending[p], k)
				continue
			}
			cost := m.add(c, e, pf.whole, now, room-size)
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

// Sizes of encoded facts without their texts, rounded up.
const (
	factBytes  = 40
	touchBytes = 32
)

// add puts e into the frame if it takes at most room bytes and returns how
// many it takes, 0 if it does not fit.
func (m *message) add(c *conn, e *entry, whole bool, now time.Time, room int) int {
	if len(m.Facts)+len(m.Touches) >= maxFrameFacts {
		return 0
	}
	if e.touched && !whole && c.session.version >= VersionTouch {
		if touchBytes > room {
			return 0
		}
		m.Touches = append(m.Touches, touch{Key: e.key, Version: e.fact.Version, TTL: e.expires.Sub(now), Value: e.value})
		return touchBytes
	}
	cost := factBytes + len(e.fact.ID) + len(e.fact.Origin) + len(e.fact.Value)
	if cost > room {
		return 0
	}
	m.Facts = append(m.Facts, e.remaining(now))
	return cost
}
