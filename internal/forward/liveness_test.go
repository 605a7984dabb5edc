package forward

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/fleet"
)

// An unresponsive upstream is reported down within a second, its requests are
// cancelled, and it recovers once it accepts connections. An upstream that is
// only slow, and so accepts or refuses connections, is never reported down.
func TestSilentUpstreamIsFound(t *testing.T) {
	for name, c := range map[string]struct {
		fail     func(ctx context.Context) error // nil connects
		wantDown bool
	}{
		"silent": {wantDown: true, fail: func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }},
		// The dialer's own timer may fire just before the context's.
		"silent, dialer times out first": {wantDown: true, fail: func(ctx context.Context) error {
			deadline, _ := ctx.Deadline()
			time.Sleep(time.Until(deadline) - time.Nanosecond)
			return &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}
		}},
		"refuses":  {fail: func(context.Context) error { return &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED} }},
		"connects": {},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				wantDown := c.wantDown
				var recovered atomic.Bool
				dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
					if c.fail != nil && !recovered.Load() {
						return nil, c.fail(ctx)
					}
					client, server := net.Pipe()
					server.Close()
					return client, nil
				}
				var changes atomic.Int64
				l := NewLiveness(dial, func(string, bool) { changes.Add(1) }, eventlog.Discard())
				ctx, stop := context.WithCancel(context.Background())
				done := make(chan error)
				go func() { done <- l.Run(ctx) }()
				request, cancel := context.WithCancelCause(context.Background())
				_, untrack := l.track(&fleet.Registration{ID: "e", Address: "10.0.0.1:80"}, &transfer{}, cancel)
				time.Sleep(time.Second)
				assert.Equal(t, l.Down("e"), wantDown)
				assert.Equal(t, errors.Is(context.Cause(request), errUpstreamUnresponsive), wantDown, "a request at a silent upstream is cancelled")
				untrack()
				recovered.Store(true)
				time.Sleep(time.Second)
				assert.Assert(t, !l.Down("e"))
				if wantDown {
					assert.Equal(t, changes.Load(), int64(2))
				} else {
					assert.Equal(t, changes.Load(), int64(0))
				}
				stop()
				<-done
				cancel(nil)
			})
		})
	}
}

// Guards against cutting the streams of an upstream that is too busy for new connections:
// bytes that arrive on an open one while it is probed show that it responds.
func TestBusyUpstreamThatSendsIsNotDown(t *testing.T) {
	const (
		busyFor       = 3 * time.Second
		eventInterval = silenceThreshold + probeTimeout // longer than what prompts a probe
	)
	synctest.Test(t, func(t *testing.T) {
		dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		l := NewLiveness(dial, func(string, bool) {}, eventlog.Discard())
		ctx, stop := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		defer wg.Wait()
		defer stop()
		wg.Go(func() { _ = l.Run(ctx) })
		request, cancel := context.WithCancelCause(context.Background())
		defer cancel(nil)
		recordByte, untrack := l.track(&fleet.Registration{ID: "busy", Address: "busy"}, &transfer{}, cancel)
		defer untrack()
		for range busyFor / eventInterval {
			time.Sleep(eventInterval)
			recordByte()
			assert.NilError(t, context.Cause(request))
		}
		assert.Assert(t, !l.Down("busy"))
	})
}

// Guards against a daemon that lacks processor time taking working upstreams for down,
// which cuts their streams. It still finds a silent one, by longer attempts.
func TestHeldUpDaemonFindsNoWorkingUpstreamDown(t *testing.T) {
	// 320 ms were seen on a large deployment.
	for _, lateness := range []time.Duration{320 * time.Millisecond, 700 * time.Millisecond} {
		t.Run(lateness.String(), func(t *testing.T) { runHeldUpDaemon(t, lateness) })
	}
}

func runHeldUpDaemon(t *testing.T, lateness time.Duration) {
	const heldUpFor = 10 * time.Second
	synctest.Test(t, func(t *testing.T) {
		dial := func(ctx context.Context, _, address string) (net.Conn, error) {
			noticed := time.After(lateness)
			if address == "silent" {
				noticed = nil
			}
			select {
			case <-noticed:
				client, server := net.Pipe()
				server.Close()
				return client, nil
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
		l := NewLiveness(dial, func(string, bool) {}, eventlog.Discard())
		l.newTimer = func(d time.Duration) *time.Timer { return time.NewTimer(d + lateness) }
		ctx, stop := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		defer wg.Wait()
		defer stop()
		wg.Go(func() { _ = l.Run(ctx) })
		requests := map[string]context.Context{}
		for _, id := range []string{"working", "silent"} {
			request, cancel := context.WithCancelCause(context.Background())
			defer cancel(nil)
			_, untrack := l.track(&fleet.Registration{ID: id, Address: id}, &transfer{}, cancel)
			defer untrack()
			requests[id] = request
		}
		time.Sleep(heldUpFor)
		assert.Assert(t, !l.Down("working"))
		assert.NilError(t, context.Cause(requests["working"]))
		assert.Assert(t, l.Down("silent"))
		assert.ErrorIs(t, context.Cause(requests["silent"]), errUpstreamUnresponsive)
	})
}

// Guards against all daemons probing an upstream at the same time after a peer's
// report, which overflows its queue of new connections.
func TestProbesAfterPeerReportAreSpread(t *testing.T) {
	const (
		daemons = 65
		spread  = daemons * 10 * time.Millisecond
		window  = livenessInterval
		// queueLength is a small queue of new connections.
		queueLength = daemons / 2
	)
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		var mu sync.Mutex
		dials := map[time.Duration]int{}
		start := time.Now()
		dial := func(context.Context, string, string) (net.Conn, error) {
			mu.Lock()
			defer mu.Unlock()
			dials[time.Since(start).Truncate(window)]++
			return nil, syscall.ECONNREFUSED
		}
		var wg sync.WaitGroup
		for range daemons {
			l := NewLiveness(dial, func(string, bool) {}, eventlog.Discard())
			l.RequestProbe(&fleet.Registration{ID: "engine", Address: "10.0.0.1:80"}, spread)
			wg.Go(func() { _ = l.Run(ctx) })
		}
		time.Sleep(2 * spread)
		stop()
		wg.Wait()
		total := 0
		for at, n := range dials {
			total += n
			assert.Assert(t, n < queueLength, "%d probes within %s at %s", n, window, at)
		}
		assert.Equal(t, total, daemons)
	})
}

// Guards against missing the crash of a process whose connections end shortly before
// it stops listening: the request that crashed it was not counted.
func TestCrashIsFoundWhenListenerClosesLast(t *testing.T) {
	const listenerCloses = 20 * time.Millisecond // after the connections
	for name, wantCrash := range map[string]bool{"process ends": true, "process goes on": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(context.Background())
				var brokenAt time.Time
				dial := func(context.Context, string, string) (net.Conn, error) {
					if wantCrash && time.Since(brokenAt) >= listenerCloses {
						return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
					}
					client, server := net.Pipe()
					server.Close()
					return client, nil
				}
				l := NewLiveness(dial, func(string, bool) {}, eventlog.Discard())
				var crashed []RunningRequest
				var survived bool
				l.onCrash = func(_, _, _ string, requests []RunningRequest) { crashed = append(crashed, requests...) }
				var wg sync.WaitGroup
				wg.Go(func() { _ = l.Run(ctx) })
				u := &fleet.Registration{ID: "e", Address: "10.0.0.1:80"}
				_, untrack := l.track(u, &transfer{}, func(error) {})
				untrack()
				brokenAt = time.Now()
				check := l.recordBrokenConnection(u.ID, u.Process(), RunningRequest{Fingerprint: "f"}, func() { survived = true })
				select {
				case <-check:
				case <-time.After(probeTimeout):
					t.Error("a retry waits longer than for one probe")
				}
				time.Sleep(time.Second)
				stop()
				wg.Wait()
				assert.Equal(t, len(crashed) == 1, wantCrash)
				assert.Equal(t, survived, !wantCrash)
			})
		})
	}
}

// Requests that wait in the queue of an upstream when it may not be used any longer are
// cancelled. Those that are being answered go on, and those whose deadline the upstream
// was told are left to it: it says that they have not run.
func TestWaitingRequestsAreCancelledAtLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dial := func(context.Context, string, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }
		l := NewLiveness(dial, func(string, bool) {}, eventlog.Discard())
		start := time.Now()
		limit := start.Add(5 * time.Second)
		l.usableUntil = func(id string) (time.Time, bool) { return limit, id == "old" }
		ctx, stop := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		wg.Go(func() { _ = l.Run(ctx) })
		type request struct {
			name, upstream string
			deadline       time.Time
			answered       bool
			cancelledAfter time.Duration
		}
		requests := []*request{
			{name: "waiting", upstream: "old", deadline: limit.Add(time.Second)},
			{name: "answered", upstream: "old", deadline: limit.Add(time.Second), answered: true},
			{name: "told the limit", upstream: "old", deadline: limit},
			{name: "told a limit since corrected", upstream: "old", deadline: limit.Add(maxLimitCorrection)},
			{name: "elsewhere", upstream: "new", deadline: limit.Add(time.Second)},
		}
		for _, r := range requests {
			u := &fleet.Registration{ID: r.upstream, Address: "10.0.0.1:80"}
			recordByte, untrack := l.track(u, &transfer{upstreamDeadline: r.deadline}, func(err error) {
				assert.Check(t, errors.Is(err, errUpstreamExpired))
				if r.cancelledAfter == 0 {
					r.cancelledAfter = time.Since(start)
				}
			})
			defer untrack()
			if r.answered {
				recordByte()
			}
		}
		time.Sleep(6 * time.Second)
		stop()
		wg.Wait()
		for _, r := range requests {
			if r.name == "waiting" {
				assert.Check(t, r.cancelledAfter >= 5*time.Second && r.cancelledAfter <= 5*time.Second+livenessInterval, "cancelled after %s", r.cancelledAfter)
			} else {
				assert.Check(t, r.cancelledAfter == 0, "%s: cancelled after %s", r.name, r.cancelledAfter)
			}
		}
	})
}

// Guards against one or two probes for each response that ends with its connection: they
// are new connections to the upstream, more than the requests need.
func TestCompleteResponsesShareProbes(t *testing.T) {
	const (
		responses        = 200
		responseInterval = 10 * time.Millisecond
		maxProbes        = int(responses*responseInterval/livenessInterval) + 2
	)
	synctest.Test(t, func(t *testing.T) {
		var probes atomic.Int64
		dial := func(context.Context, string, string) (net.Conn, error) {
			probes.Add(1)
			client, server := net.Pipe()
			server.Close()
			return client, nil
		}
		l := NewLiveness(dial, func(string, bool) {}, eventlog.Discard())
		ctx, stop := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		wg.Go(func() { _ = l.Run(ctx) })
		u := &fleet.Registration{ID: "e", Address: "10.0.0.1:80"}
		_, untrack := l.track(u, &transfer{}, func(error) {})
		untrack()
		var survived atomic.Int64
		for range responses {
			l.recordBrokenConnection(u.ID, u.Process(), RunningRequest{Fingerprint: "f"}, func() { survived.Add(1) })
			time.Sleep(responseInterval)
		}
		time.Sleep(time.Second)
		stop()
		wg.Wait()
		assert.Equal(t, survived.Load(), int64(responses))
		assert.Assert(t, int(probes.Load()) <= maxProbes, "%d probes for %d responses", probes.Load(), responses)
	})
}

// Guards against taking a change of weights for a crash: requests whose connections broke
// after it, from any cause, were held to have crashed an upstream that goes on.
func TestChangedWeightsAreNoCrash(t *testing.T) {
	row := fleet.Registration{ID: "e", Address: "10.0.0.1:80", StartedAt: 1, Models: []fleet.LoadedModel{{Name: "opal", Version: 1}}}
	switched, restarted := row, row
	switched.Models = []fleet.LoadedModel{{Name: "opal", Version: 2}}
	restarted.StartedAt = 2
	for name, c := range map[string]struct {
		later fleet.Registration
		crash bool
	}{"other weights": {switched, false}, "restarted": {restarted, true}, "unchanged": {row, false}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				dial := func(context.Context, string, string) (net.Conn, error) {
					client, server := net.Pipe()
					server.Close()
					return client, nil
				}
				l := NewLiveness(dial, func(string, bool) {}, eventlog.Discard())
				var crashed []RunningRequest
				l.onCrash = func(_, _, _ string, requests []RunningRequest) { crashed = append(crashed, requests...) }
				ctx, stop := context.WithCancel(context.Background())
				var wg sync.WaitGroup
				wg.Go(func() { _ = l.Run(ctx) })
				registry := fleet.NewRegistry()
				before := registry.Replace([]fleet.Registration{row}).ByID["e"]
				_, untrack := l.track(before, &transfer{}, func(error) {})
				defer untrack()
				_, untrackLater := l.track(registry.Replace([]fleet.Registration{c.later}).ByID["e"], &transfer{}, func(error) {})
				defer untrackLater()
				l.recordBrokenConnection("e", before.Process(), RunningRequest{Fingerprint: "f"}, nil)
				time.Sleep(time.Second)
				stop()
				wg.Wait()
				assert.Equal(t, len(crashed) == 1, c.crash)
			})
		})
	}
}

// Guards against taking a crashed upstream for alive because a probe timed out, or got a
// connection that the ending process had accepted.
func TestOnlyConnectionAfterExitTimeRulesCrashOut(t *testing.T) {
	const (
		listensFor = exitTime / 2
		noticedIn  = exitTime + 10*time.Millisecond // by a daemon that is held up
	)
	for name, dial := range map[string]func(ctx context.Context, age time.Duration) (net.Conn, error){
		"silent address": func(ctx context.Context, _ time.Duration) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		},
		"accepted before the exit": func(_ context.Context, age time.Duration) (net.Conn, error) {
			if age >= listensFor {
				return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
			}
			time.Sleep(noticedIn)
			client, server := net.Pipe()
			server.Close()
			return client, nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				l := NewLiveness(func(ctx context.Context, _, _ string) (net.Conn, error) { return dial(ctx, time.Since(start)) }, func(string, bool) {}, eventlog.Discard())
				ctx, stop := context.WithCancel(context.Background())
				var wg sync.WaitGroup
				wg.Go(func() { _ = l.Run(ctx) })
				u := &fleet.Registration{ID: "e", Address: "10.0.0.1:80"}
				_, untrack := l.track(u, &transfer{}, func(error) {})
				untrack()
				var survived atomic.Bool
				l.recordBrokenConnection(u.ID, u.Process(), RunningRequest{Fingerprint: "g"}, nil)
				l.recordBrokenConnection(u.ID, u.Process(), RunningRequest{Fingerprint: "f"}, func() { survived.Store(true) })
				time.Sleep(3 * time.Second)
				stop()
				wg.Wait()
				assert.Assert(t, !survived.Load())
			})
		})
	}
}

// A daemon without free descriptors took its own failure to connect for proof that the upstream
// responds, and cleared requests of the suspicion to have crashed it.
func TestOwnShortageProvesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		dial := func(context.Context, string, string) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", syscall.EMFILE)}
		}
		l := NewLiveness(dial, func(string, bool) { t.Error("the upstream is reported") }, eventlog.Discard())
		l.onCrash = func(_, _, _ string, _ []RunningRequest) { t.Error("a crash is reported") }
		var wg sync.WaitGroup
		wg.Go(func() { _ = l.Run(ctx) })
		u := &fleet.Registration{ID: "e", Address: "10.0.0.1:80"}
		_, untrack := l.track(u, &transfer{}, func(error) { t.Error("a request is cancelled") })
		l.recordBrokenConnection(u.ID, u.Process(), RunningRequest{Fingerprint: "f"}, func() { t.Error("a crash is ruled out") })
		time.Sleep(3 * time.Second)
		untrack()
		stop()
		wg.Wait()
	})
}
