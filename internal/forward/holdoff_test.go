package forward

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/fleet"
	"github.com/verbenabend/verbenabend/internal/routetable"
	"github.com/verbenabend/verbenabend/internal/routing"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

// Guards against requests to an upstream before the end of its hold-off because it was
// down, or because its row was removed, rewritten or names other weights.
func TestHoldOffSurvivesUpdates(t *testing.T) {
	const (
		holdOff  = 3 * time.Second
		maxWait  = 100 * time.Millisecond
		upstream = "u-1"
	)
	row := fleet.Registration{ID: upstream, Address: "10.0.0.1:80", Service: "ledger", Slots: 8, StartedAt: 1, Models: []fleet.LoadedModel{{Name: "opal", Version: 1}}}
	moved, newWeights, restarted := row, row, row
	moved.Address = "10.0.0.2:80"
	newWeights.Models = []fleet.LoadedModel{{Name: "opal", Version: 2}}
	restarted.StartedAt = 2
	for name, c := range map[string]struct {
		rows []fleet.Registration
		down bool
		then fleet.Registration
		want routing.ActionKind
	}{
		"down and back":    {rows: []fleet.Registration{row}, down: true, then: row, want: routing.Refuse},
		"removed and back": {then: row, want: routing.Refuse},
		"rewritten":        {rows: []fleet.Registration{row}, then: moved, want: routing.Refuse},
		"other weights":    {rows: []fleet.Registration{row}, then: newWeights, want: routing.Refuse},
		"restarted":        {rows: []fleet.Registration{row}, then: restarted, want: routing.Start},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table, err := routetable.New(routetable.State{Services: []routetable.Service{{Name: "ledger"}}})
				assert.NilError(t, err)
				services := NewServices(RetryLimits{Slack: 50}, func(string) time.Duration { return 0 })
				defer services.Close()
				registry := fleet.NewRegistry()
				update := func(down bool, rows ...fleet.Registration) *fleet.Registration {
					snapshot := registry.Replace(rows)
					services.Update(View{Table: table, Registry: snapshot, Unavailable: func(*fleet.Registration) bool { return down }})
					return snapshot.ByID[upstream]
				}
				svc := services.get("ledger")
				u := update(false, row)
				assert.Assert(t, svc.holdOff(u, holdOff), "the hold-off begins")
				assert.Assert(t, !svc.holdOff(u, holdOff/2), "the hold-off goes on")
				update(c.down, c.rows...)
				u = update(false, c.then)
				assert.Equal(t, svc.heldOff(u), c.want == routing.Refuse)
				time.Sleep(holdOff - 2*maxWait)
				kind := func(id string) routing.ActionKind {
					actions := svc.runner.Submit(&routing.Request{ID: id, Class: routing.Class{MaxWait: maxWait}})
					defer svc.runner.Forget(id, actions)
					return (<-actions).Kind
				}
				assert.Equal(t, kind("before the end"), c.want)
				time.Sleep(2 * maxWait)
				assert.Equal(t, kind("after the end"), routing.Start)
			})
		})
	}
}

// Guards against ejection of an upstream because a request for it was held back.
func TestHeldBackRequestIsNoFailure(t *testing.T) {
	x := &transfer{forwarder: New(Config{}), callerRequest: httptest.NewRequest(http.MethodGet, "/", nil), deadline: time.Now().Add(time.Minute)}
	err := verdict.Wrap(errHeldOff, verdict.NotRun, verdict.CodeUpstreamFailed, "nothing was sent")
	assert.Equal(t, x.attemptOutcome("u-1", err), routing.Canceled)
}

// Guards against requests that wait for the scheduler once more before they are sent,
// although no upstream has asked for anything.
func TestRequestsWithoutHoldOffsDoNotWaitForScheduler(t *testing.T) {
	const waitLimit = 5 * time.Second
	services := NewServices(RetryLimits{Slack: 50}, func(string) time.Duration { return 0 })
	defer services.Close()
	svc := services.get("ledger")
	u := &fleet.Registration{ID: "u-1", Service: "ledger", StartedAt: 1}
	heldOff := make(chan bool, 1)
	svc.runner.Do(func(routing.Scheduler, time.Time) { // keeps the scheduler busy
		go func() { heldOff <- svc.heldOff(u) }()
		select {
		case held := <-heldOff:
			assert.Check(t, !held)
		case <-time.After(waitLimit):
			t.Error("the request waits for the scheduler")
		}
	})
	assert.Assert(t, svc.holdOff(u, time.Minute))
	assert.Assert(t, svc.heldOff(u))
	assert.Assert(t, !svc.holdOff(u, time.Second))
	assert.Assert(t, svc.heldOff(u), "a shorter hold-off does not end a longer one")
}
