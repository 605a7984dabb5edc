package routing

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/verbenabend/verbenabend/internal/prefix"
	"github.com/verbenabend/verbenabend/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

const testWeights = "opal@1"

func testEndpoints(n, slots int) []Endpoint {
	var out []Endpoint
	for i := range n {
		id := fmt.Sprintf("10.0.0.%d:1", i)
		out = append(out, Endpoint{ID: id, Incarnation: "1", Weights: []string{testWeights}, Slots: slots, Hash: prefix.NodeHash(id)})
	}
	return out
}

func testRequest(id, family int, class Class) *Request {
	c := prefix.New(prefix.Scope{Weights: testWeights}, []string{"catalogue of spools", fmt.Sprint("family", family), fmt.Sprint("question", id)}, 4)
	return &Request{
		ID: fmt.Sprint(id), Organisation: fmt.Sprint("o", id%3), Share: 1, Class: class, Weights: testWeights,
		Chain: c, PromptTokens: 100 * len(c.Blocks), MaxOutputTokens: 256, Repeatable: id%2 == 0,
	}
}

// policyModel is the oracle: it tracks the state of every request.
type policyModel struct {
	waiting       map[string]*Request
	waitingSince  map[string]time.Time
	running       map[string][]string // endpoints per request
	requests      map[string]*Request
	starts        int
	hedges        int
	firstAttempts int
	retries       int
}

func (m *policyModel) load(endpoint string) int {
	n := 0
	for _, at := range m.running {
		if slices.Contains(at, endpoint) {
			n++
		}
	}
	return n
}

// Every request gets exactly one start, refusal or withdrawal; no engine runs
// more requests of this daemon than it has slots; no request waits longer than
// its class allows; budgets hold; only repeatable requests are hedged.
func TestPolicyInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const hedgePercent, retryPercent = 20, 30
		p := New(Settings{HedgePercent: hedgePercent, RetryPercent: retryPercent})
		now, next, slots := epoch, 0, rapid.IntRange(1, 4).Draw(t, "slots")
		m := &policyModel{waiting: map[string]*Request{}, waitingSince: map[string]time.Time{}, running: map[string][]string{}, requests: map[string]*Request{}}
		p.SetEndpoints(now, testEndpoints(4, slots))
		const timeLimit = 6 * time.Second
		triaged := rapid.Bool().Draw(t, "triage")
		p.SetTriage(now, triaged)
		submit := func(r *Request) {
			if triaged && r.Deadline.IsZero() {
				r.FirstTokenGoal, r.Deadline = 400*time.Millisecond, now.Add(timeLimit)
			}
			m.waiting[r.ID], m.waitingSince[r.ID], m.requests[r.ID] = r, now, r
			p.Submit(now, r)
		}
		advance := func(t *rapid.T) {
			for _, a := range p.Advance(now) {
				id := a.Request.ID
				switch a.Kind {
				case Hedge:
					m.hedges++
					assert.Assert(t, a.Request.Repeatable)
					assert.Equal(t, len(m.running[id]), 1)
					assert.Assert(t, m.running[id][0] != a.Endpoint)
					m.running[id] = append(m.running[id], a.Endpoint)
				case Start:
					assert.Equal(t, m.waiting[id], a.Request)
					delete(m.waiting, id)
					m.running[id] = append(m.running[id], a.Endpoint)
					assert.Assert(t, !slices.Contains(a.Request.ExcludedEndpoints, a.Endpoint))
					m.starts++
					if a.Request.PreviousAttempts > 0 {
						m.retries++
					}
				case Refuse:
					assert.Equal(t, m.waiting[id], a.Request)
					delete(m.waiting, id)
					assert.Assert(t, a.Code != "" && a.RetryAfter > 0)
				}
				assert.Assert(t, m.load(a.Endpoint) <= slots)
			}
			for id, r := range m.waiting {
				assert.Assert(t, now.Sub(m.waitingSince[id]) < r.Class.MaxWait)
			}
			assert.Assert(t, m.hedges*100 <= m.firstAttempts*hedgePercent)
			assert.Assert(t, m.retries*100 <= initialRetryBudget*100+m.firstAttempts*retryPercent)
		}
		pick := func(t *rapid.T) (string, string) {
			ids := make([]string, 0, len(m.running))
			for id := range m.running {
				ids = append(ids, id)
			}
			if len(ids) == 0 {
				t.Skip("no request is running")
			}
			slices.Sort(ids)
			id := rapid.SampledFrom(ids).Draw(t, "id")
			return id, rapid.SampledFrom(m.running[id]).Draw(t, "endpoint")
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				class := Class{Priority: 5, MaxWait: 2 * time.Second}
				if rapid.Bool().Draw(t, "deferrable") {
					class = Class{Priority: 1, MaxWait: 5 * time.Second, Deferrable: true}
				}
				next++
				m.firstAttempts++
				submit(testRequest(next, rapid.IntRange(0, 5).Draw(t, "family"), class))
				advance(t)
			},
			"withdraw": func(t *rapid.T) {
				for id := range m.waiting {
					delete(m.waiting, id)
					p.Withdraw(now, id)
					break
				}
				advance(t)
			},
			"first token": func(t *rapid.T) {
				id, endpoint := pick(t)
				p.FirstToken(now, id, endpoint, rapid.IntRange(0, m.requests[id].PromptTokens).Draw(t, "cached"))
				advance(t)
			},
			"finish": func(t *rapid.T) {
				id, endpoint := pick(t)
				outcome := rapid.SampledFrom([]Outcome{Completed, Rejected, Failed, Canceled}).Draw(t, "outcome")
				m.running[id] = slices.DeleteFunc(m.running[id], func(e string) bool { return e == endpoint })
				ended := len(m.running[id]) == 0
				if ended {
					delete(m.running, id)
				}
				p.Finished(now, id, endpoint, outcome, 50)
				if ended && outcome == Rejected {
					r := *m.requests[id]
					r.PreviousAttempts++
					r.ExcludedEndpoints = append(slices.Clone(r.ExcludedEndpoints), endpoint)
					submit(&r)
				}
				advance(t)
			},
			"wait": func(t *rapid.T) {
				until := now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
				for wake := p.NextWake(now); !wake.IsZero() && !wake.After(until); wake = p.NextWake(now) {
					if wake.After(now) {
						now = wake
					} else {
						now = now.Add(time.Millisecond)
					}
					advance(t)
				}
				now = until
				advance(t)
			},
			"hold off": func(t *rapid.T) {
				ep := rapid.SampledFrom(p.engines).Draw(t, "engine").ep
				p.HoldOff(now, ep.ID, ep.StartedAt, now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms"))*time.Millisecond))
				advance(t)
			},
			"learn": func(t *rapid.T) {
				p.SetDaemonCount(now, 2)
				p.ApplyPeerLoads(now, "b", []PeerLoad{{Endpoint: "10.0.0.1:1", Incarnation: "1", Requests: rapid.IntRange(0, slots).Draw(t, "requests"), PendingTokens: 500, Slowdown: 3}})
				advance(t)
			},
		})
	})
}

// startEndpoint submits a request and returns the engine at which it starts.
func startEndpoint(t *testing.T, p *Policy, now time.Time, r *Request) string {
	t.Helper()
	p.Submit(now, r)
	for _, a := range p.Advance(now) {
		if a.Kind == Start && a.Request == r {
			return a.Endpoint
		}
	}
	t.Fatal("did not start")
	return ""
}

// A newly started daemon sends the first request of a prompt to the same engine
// as a daemon that has served the prompt before.
func TestRestartedDaemonFindsTheCaches(t *testing.T) {
	class := Class{Priority: 5, MaxWait: time.Second}
	request := func(id, catalogue int) *Request {
		r := testRequest(id, 0, class)
		r.Chain = prefix.New(prefix.Scope{}, []string{fmt.Sprint("catalogue", catalogue), "family", fmt.Sprint(id)}, 4)
		return r
	}
	for catalogue := range 20 {
		old := New(Settings{})
		old.SetEndpoints(epoch, testEndpoints(12, 8))
		now := epoch
		var endpoint string
		for id := range 30 {
			r := request(id, catalogue)
			endpoint = startEndpoint(t, old, now, r)
			now = now.Add(50 * time.Millisecond)
			old.FirstToken(now, r.ID, endpoint, r.PromptTokens-100)
			old.Finished(now, r.ID, endpoint, Completed, 20)
		}
		started := New(Settings{})
		started.SetEndpoints(now, testEndpoints(12, 8))
		assert.Equal(t, startEndpoint(t, started, now, request(99, catalogue)), endpoint)
	}
}

// An attempt that waits longer than predicted for its first token raises the
// engine's slowdown at once, here and, once shared, at peers.
func TestWaitPastPredictionRaisesSlowdown(t *testing.T) {
	class := Class{Priority: 5, MaxWait: time.Second}
	p, peer := New(Settings{}), New(Settings{})
	p.SetEndpoints(epoch, testEndpoints(12, 8))
	peer.SetEndpoints(epoch, testEndpoints(12, 8))
	slow := startEndpoint(t, p, epoch, testRequest(1, 1, class))
	now := epoch.Add(3 * time.Second)
	assert.Assert(t, startEndpoint(t, p, now, testRequest(3, 1, class)) != slow)
	peer.ApplyPeerLoads(now, "p", p.LoadsForPeers(now))
	assert.Assert(t, startEndpoint(t, peer, now, testRequest(5, 1, class)) != slow)
}

// A shared hint is stored by a peer, and ignored by one whose list of engines has
// another incarnation of the engine.
func TestSharedHintsFollowIncarnation(t *testing.T) {
	class := Class{Priority: 5, MaxWait: time.Second}
	for family := range 10 {
		p, peer, restarted := New(Settings{}), New(Settings{}), New(Settings{})
		endpoints := testEndpoints(12, 8)
		p.SetDaemonCount(epoch, 3)
		for _, s := range []*Policy{p, peer} {
			s.SetEndpoints(epoch, endpoints)
		}
		r := testRequest(family, family, class)
		home := startEndpoint(t, p, epoch, r)
		p.Finished(epoch, r.ID, home, Rejected, 0)
		again := testRequest(family+100, family, class)
		again.ExcludedEndpoints = []string{home}
		second := startEndpoint(t, p, epoch, again)
		p.FirstToken(epoch, again.ID, second, 0)
		p.Finished(epoch, again.ID, second, Completed, 10)

		loads := p.LoadsForPeers(epoch)
		i := slices.IndexFunc(endpoints, func(e Endpoint) bool { return e.ID == second })
		endpoints[i].Incarnation = "2"
		restarted.SetEndpoints(epoch, endpoints)
		later := epoch.Add(time.Second)
		peer.ApplyPeerLoads(later, "p", loads)
		restarted.ApplyPeerLoads(later, "p", loads)
		hash := r.Chain.Levels[len(r.Chain.Levels)-2]
		assert.Assert(t, peer.hints.Holds(later, hash, peer.byID[second].hintKey))
		assert.Assert(t, !restarted.hints.Holds(later, hash, restarted.byID[second].hintKey))
	}
}

// An organisation that exceeds its share leaves slots for another one that
// submits later and stays within its share.
func TestOrganisationOverItsShareLeavesHeadroom(t *testing.T) {
	served := func(without ...string) int {
		p := New(Settings{DisabledRules: without})
		p.SetEndpoints(epoch, testEndpoints(4, 10))
		class := Class{Priority: 5, MaxWait: time.Second}
		submit := func(id int, organisation string) {
			r := testRequest(id, id, class)
			r.Organisation = organisation
			p.Submit(epoch, r)
		}
		submit(0, "modest")
		for id := 1; id <= 200; id++ {
			submit(id, "greedy")
		}
		p.Advance(epoch)
		for id := 201; id <= 208; id++ {
			submit(id, "modest")
		}
		started := 0
		for _, a := range p.Advance(epoch) {
			if a.Kind == Start && a.Request.Organisation == "modest" {
				started++
			}
		}
		return started
	}
	// Some may wait for a better home whose headroom is already in use.
	assert.Assert(t, served() >= 6, "served %d", served())
	assert.Equal(t, served(RuleShareHeadroom), 0)
}
