package descriptor

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/verbenabend/verbenabend/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// scriptedListener returns errors first, and then connections until it is closed.
type scriptedListener struct {
	mu     sync.Mutex
	errs   []error
	conns  chan net.Conn
	closed chan struct{}
	calls  int
}

func newScriptedListener(errs ...error) *scriptedListener {
	return &scriptedListener{errs: errs, conns: make(chan net.Conn, 100), closed: make(chan struct{})}
}

func (l *scriptedListener) Accept() (net.Conn, error) {
	l.mu.Lock()
	l.calls++
	if len(l.errs) > 0 {
		err := l.errs[0]
		l.errs = l.errs[1:]
		l.mu.Unlock()
		return nil, &net.OpError{Op: "accept", Err: err}
	}
	l.mu.Unlock()
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *scriptedListener) Close() error {
	close(l.closed)
	return nil
}

func (l *scriptedListener) Addr() net.Addr { return &net.TCPAddr{} }

// connect queues a connection and returns the caller's end.
func (l *scriptedListener) connect() net.Conn {
	client, server := net.Pipe()
	l.conns <- server
	return client
}

func acceptErr(errno syscall.Errno) error { return os.NewSyscallError("accept4", errno) }

// A shortage of descriptors or an aborted handshake ended the process: accept returned the
// error.
func TestAcceptOutlastsShortages(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EPROTO, syscall.EINTR, syscall.ENETDOWN} {
		synctest.Test(t, func(t *testing.T) {
			const failures = 20
			var errs []error
			for range failures {
				errs = append(errs, acceptErr(errno))
			}
			inner := newScriptedListener(errs...)
			l := NewBudget(10).Listen(inner, Group{Name: "callers"})
			inner.connect()
			start := time.Now()
			conn, err := l.Accept()
			assert.NilError(t, err, "%v", errno)
			conn.Close()
			assert.Equal(t, inner.calls, failures+1)
			assert.Assert(t, time.Since(start) > failures*acceptBackoff.Min/2, "%v: the loop spins", errno)
		})
	}
}

// A shortage that lasts ends with the listener.
func TestAcceptEndsWithListener(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var errs []error
		for range 10_000 {
			errs = append(errs, acceptErr(syscall.EMFILE))
		}
		l := NewBudget(10).Listen(newScriptedListener(errs...), Group{})
		done := make(chan error)
		go func() {
			_, err := l.Accept()
			done <- err
		}()
		time.Sleep(time.Second)
		l.Close()
		assert.ErrorIs(t, <-done, net.ErrClosed)
	})
	_, err := NewBudget(10).Listen(newScriptedListener(acceptErr(syscall.ENOTSOCK)), Group{}).Accept()
	assert.ErrorIs(t, err, syscall.ENOTSOCK)
}

// pipeDialer connects to nobody.
func pipeDialer(context.Context, string, string) (net.Conn, error) {
	client, _ := net.Pipe()
	return client, nil
}

// isOpen reports whether the other end of a connection is open.
func isOpen(c net.Conn) bool {
	if c.SetReadDeadline(time.Now().Add(time.Millisecond)) != nil {
		return false
	}
	_, err := c.Read(make([]byte, 1))
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// Idle connections to the directory go first, then those of callers; connections with
// requests stay, and the daemon's own way out remains.
func TestOrderOfReclaiming(t *testing.T) {
	b := NewBudget(6) // two listeners, four connections
	callers, directory := newScriptedListener(), newScriptedListener()
	callerListener := b.Listen(callers, Group{Name: "callers", ReclaimOrder: 2})
	directoryListener := b.Listen(directory, Group{Name: "directory", ReclaimOrder: 1})
	accept := func(l *Listener, inner *scriptedListener) (client net.Conn, conn *Conn) {
		client = inner.connect()
		c, err := l.Accept()
		assert.NilError(t, err)
		return client, c.(*Conn)
	}
	idleCaller, _ := accept(callerListener, callers)
	lookup, _ := accept(directoryListener, directory)
	activeCaller, active := accept(callerListener, callers)
	assert.Assert(t, active.MarkActive())
	other, otherConn := accept(callerListener, callers)
	assert.Assert(t, otherConn.MarkActive())

	dial := b.Dialer(pipeDialer)
	_, err := dial(t.Context(), "tcp", "engine")
	assert.NilError(t, err)
	assert.Assert(t, !isOpen(lookup) && isOpen(idleCaller))
	_, err = dial(t.Context(), "tcp", "engine")
	assert.NilError(t, err)
	assert.Assert(t, !isOpen(idleCaller) && isOpen(activeCaller) && isOpen(other))
	_, err = dial(t.Context(), "tcp", "engine")
	assert.Assert(t, IsShortage(err), err)
	assert.Assert(t, isOpen(activeCaller) && isOpen(other))

	refused := callers.connect()
	go callerListener.Accept()
	assert.Assert(t, readEnds(refused), "a new connection is refused")
	otherConn.MarkIdle()
	_, err = dial(t.Context(), "tcp", "engine")
	assert.NilError(t, err)
	assert.Assert(t, !isOpen(other))
	s := b.Stats()
	assert.Equal(t, s.Open, 6)
	assert.Equal(t, s.Reclaimed, int64(3))
	assert.Equal(t, s.Refused, int64(1))
	assert.Equal(t, s.Failed, int64(1))
	callerListener.Close()
}

func readEnds(c net.Conn) bool {
	_, err := c.Read(make([]byte, 1))
	return err != nil
}

// A reclaimed connection delivers no byte, so that no request is served whose response would
// be lost.
func TestReclaimedConnectionDeliversNothing(t *testing.T) {
	b := NewBudget(2)
	inner := newScriptedListener()
	l := b.Listen(inner, Group{ReclaimOrder: 1})
	client := inner.connect()
	conn, err := l.Accept()
	assert.NilError(t, err)
	assert.Assert(t, conn.(*Conn).markReclaimed())
	go func() { _, _ = client.Write([]byte("x")) }()
	n, err := conn.Read(make([]byte, 1))
	assert.Equal(t, n, 0)
	assert.ErrorIs(t, err, net.ErrClosed)
	assert.Assert(t, !conn.(*Conn).MarkActive())
}

// A connection whose request has arrived unread is not reclaimed.
func TestUnreadRequestIsKept(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	b := NewBudget(2)
	l := b.Listen(inner, Group{ReclaimOrder: 1})
	defer l.Close()
	client, err := net.Dial("tcp", inner.Addr().String())
	assert.NilError(t, err)
	defer client.Close()
	conn, err := l.Accept()
	assert.NilError(t, err)
	defer conn.Close()
	_, err = client.Write([]byte("x"))
	assert.NilError(t, err)
	for end := time.Now().Add(10 * time.Second); !hasInput(conn.(*Conn).Conn) && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	_, err = b.Dialer(pipeDialer)(t.Context(), "tcp", "engine")
	assert.Assert(t, IsShortage(err), err)
}

// The dialer closes an idle connection and tries once more if the process is out of
// descriptors that the budget does not know of.
func TestDialerReclaimsAfterShortage(t *testing.T) {
	b := NewBudget(0)
	inner := newScriptedListener()
	l := b.Listen(inner, Group{ReclaimOrder: 1})
	client := inner.connect()
	_, err := l.Accept()
	assert.NilError(t, err)
	attempts := 0
	dial := b.Dialer(func(ctx context.Context, network, address string) (net.Conn, error) {
		if attempts++; attempts == 1 {
			return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", syscall.EMFILE)}
		}
		return pipeDialer(ctx, network, address)
	})
	_, err = dial(t.Context(), "tcp", "engine")
	assert.NilError(t, err)
	assert.Assert(t, !isOpen(client))
}

// Whatever opens and closes, the budget is kept, connections with requests stay open, and an
// attempt to connect fails only if nothing idle is left.
func TestBudgetHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(4, 12).Draw(t, "limit")
		b := NewBudget(limit)
		b.SetReserve(rapid.IntRange(0, limit).Draw(t, "reserve"))
		groups := []Group{{Name: "directory", ReclaimOrder: 1}, {Name: "callers", ReclaimOrder: 2}, {Name: "copies", UsesReserve: true}}
		var listeners []*Listener
		for _, g := range groups {
			l := b.Listen(newScriptedListener(), g)
			defer l.Close()
			listeners = append(listeners, l)
		}
		dial := b.Dialer(pipeDialer)
		var accepted []*Conn
		var dialed []net.Conn
		open := func() []*Conn {
			var out []*Conn
			for _, c := range accepted {
				if c.state.Load() != stateReclaimed {
					out = append(out, c)
				}
			}
			return out
		}
		for range 60 {
			switch op := rapid.IntRange(0, 4).Draw(t, "operation"); {
			case op == 0:
				g := rapid.IntRange(0, len(groups)-1).Draw(t, "group")
				_, server := net.Pipe()
				if c := b.add(listeners[g].group, server); c != nil {
					accepted = append(accepted, c)
				} else {
					server.Close()
				}
			case op == 1:
				conn, err := dial(context.Background(), "tcp", "engine")
				if err == nil {
					dialed = append(dialed, conn)
					break
				}
				assert.Assert(t, IsShortage(err))
				for _, c := range open() {
					assert.Assert(t, c.group.ReclaimOrder == 0 || c.state.Load() == stateActive, "an idle connection was kept")
				}
			case op == 2 && len(dialed) > 0:
				i := rapid.IntRange(0, len(dialed)-1).Draw(t, "connection")
				dialed[i].Close()
				dialed = append(dialed[:i], dialed[i+1:]...)
			case len(open()) > 0:
				list := open()
				c := list[rapid.IntRange(0, len(list)-1).Draw(t, "connection")]
				switch rapid.IntRange(0, 2).Draw(t, "event") {
				case 0:
					assert.Assert(t, c.MarkActive())
				case 1:
					c.MarkIdle()
				default:
					c.Close()
					for i := range accepted {
						if accepted[i] == c {
							accepted = append(accepted[:i], accepted[i+1:]...)
							break
						}
					}
				}
			}
			want := len(groups) + len(dialed) + len(open())
			assert.Equal(t, b.Stats().Open, want)
			assert.Assert(t, want <= limit)
		}
	})
}
