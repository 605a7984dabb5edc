package forward

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/fleet"
	"github.com/verbenabend/verbenabend/internal/routetable"
)

// tableOf returns a desired state with organisations a, b and c, of which some are isolated.
func tableOf(t *testing.T, isolated ...string) *routetable.Table {
	var state routetable.State
	for _, name := range []string{"a", "b", "c"} {
		o := routetable.Organisation{Name: name}
		for _, x := range isolated {
			o.Isolated = o.Isolated || x == name
		}
		state.Organisations = append(state.Organisations, o)
	}
	table, err := routetable.New(state)
	assert.NilError(t, err)
	return table
}

// Guards against requests that stay in an upstream's queue, with the cache scope of before, when an
// organisation becomes isolated. Those that may have begun, or share with nobody, stay.
func TestNewIsolationWithdrawsQueuedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dial := func(context.Context, string, string) (net.Conn, error) {
			client, server := net.Pipe()
			server.Close()
			return client, nil
		}
		none, a, ab, b := tableOf(t), tableOf(t, "a"), tableOf(t, "a", "b"), tableOf(t, "b")
		var current atomic.Pointer[routetable.Table]
		current.Store(none)
		l := NewLiveness(dial, func(string, bool) {}, eventlog.Discard())
		l.table = current.Load
		ctx, stop := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		wg.Go(func() { _ = l.Run(ctx) })
		start := time.Now()
		type request struct {
			sentUnder *routetable.Table
			answered  bool
			withdrawn time.Duration
		}
		send := func(sentUnder *routetable.Table, answered bool) *request {
			r := &request{sentUnder: sentUnder, answered: answered}
			u, transfer := &fleet.Registration{ID: "e", Address: "10.0.0.1:80"}, &transfer{}
			recordByte, untrack := l.track(u, transfer, func(err error) {
				assert.Check(t, errors.Is(err, errNewlyIsolated))
				if r.withdrawn == 0 {
					r.withdrawn = time.Since(start)
				}
			})
			l.recordScope("e", transfer, sentUnder)
			if answered {
				recordByte()
			}
			t.Cleanup(untrack)
			return r
		}
		queued, begun, apart := send(none, false), send(none, true), send(nil, false)
		underA, underB := send(a, false), send(b, false)
		for i, step := range []struct {
			table *routetable.Table
			lasts time.Duration
		}{
			{none, time.Second},
			{a, isolationSettleTime / 2}, // taken back before a request was withdrawn
			{none, time.Second},
			{a, time.Second},
			{ab, time.Second},
			{a, time.Second},
		} {
			current.Store(step.table)
			time.Sleep(step.lasts)
			if i == 2 {
				assert.Equal(t, queued.withdrawn, time.Duration(0), "nobody is isolated")
			}
		}
		stop()
		wg.Wait()
		first := 2*time.Second + isolationSettleTime/2 // when a is isolated for good
		latest := isolationSettleTime + isolationSpread + livenessInterval
		assert.Check(t, queued.withdrawn >= first+isolationSettleTime && queued.withdrawn <= first+latest, "withdrawn after %s", queued.withdrawn)
		assert.Check(t, underB.withdrawn >= isolationSettleTime && underB.withdrawn <= first+latest, "withdrawn after %s", underB.withdrawn)
		second := first + time.Second // when b is isolated too
		assert.Check(t, underA.withdrawn >= second+isolationSettleTime && underA.withdrawn <= second+latest, "withdrawn after %s", underA.withdrawn)
		assert.Check(t, begun.withdrawn == 0 && apart.withdrawn == 0, "%s %s", begun.withdrawn, apart.withdrawn)
	})
}
