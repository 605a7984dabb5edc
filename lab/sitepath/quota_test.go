package sitepath

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/lab/fabric"
	"github.com/verbenabend/verbenabend/lab/site"
)

// The quota of organisation "trust" and the platform's tolerances in these tests. A request to
// the model costs 340 tokens, a plain one quotaPlainCost.
const (
	quotaRate      = 6800.0
	quotaBurst     = 3400.0
	quotaPlainCost = 170.0
	quotaModelCost = 340.0
	quotaWindow    = 8 * time.Second
	quotaOverage   = 0.1
	quotaSlack     = 680.0
)

// quotaLoad is a load of organisation "trust" beyond its quota, and what reached upstreams of it.
type quotaLoad struct {
	d  *deployment
	mu sync.Mutex
	// used are the costs that reached an upstream, by time.
	used []quotaUse

	accepted, rejected, other atomic.Int64
	slowest                   atomic.Int64
	stopped                   atomic.Bool
	callers                   sync.WaitGroup
}

type quotaUse struct {
	at   time.Time
	cost float64
}

func (d *deployment) setQuota(perSecond any) {
	tenant := d.desiredState["tenants"].([]map[string]any)[0]
	tenant["unit"], tenant["ratePerS"], tenant["burst"], tenant["uncachedTokens"] = "tokens", perSecond, quotaBurst, quotaPlainCost
	d.publish()
}

// startQuotaLoad sends requests to the model and to a plain service, by all daemons in turn,
// three times the quota in all.
func (d *deployment) startQuotaLoad() *quotaLoad {
	l := &quotaLoad{d: d}
	for _, u := range d.upstreams() {
		cost := quotaModelCost
		if u.Service == "ledger" {
			cost = quotaPlainCost
		}
		u.ChooseBehaviour = func(r *http.Request) site.Behaviour {
			if r.Header.Get("X-Tenant") == "trust" {
				l.mu.Lock()
				l.used = append(l.used, quotaUse{time.Now(), cost})
				l.mu.Unlock()
			}
			return site.Serve
		}
	}
	l.callers.Go(func() {
		for i := 0; !l.stopped.Load(); i++ {
			p, host, path := d.processes[i/2%len(d.processes)], plainHost, "/read/1"
			if i%2 == 0 {
				host, path = modelHost, "/chat/1"
			}
			l.callers.Go(func() { l.ask(p, host, path) })
			time.Sleep(time.Duration((quotaModelCost + quotaPlainCost) / 2 / (3 * quotaRate) * float64(time.Second)))
		}
	})
	return l
}

func (l *quotaLoad) ask(p *process, host, path string) {
	start := time.Now()
	a := l.d.ask(p, http.MethodPost, host, path, nil)
	switch {
	case a.err != nil:
		l.other.Add(1) // the daemon was cut off
	case a.status == http.StatusOK:
		l.accepted.Add(1)
	case a.status == http.StatusTooManyRequests:
		l.rejected.Add(1)
		l.slowest.Store(max(l.slowest.Load(), int64(time.Since(start))))
		after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
		assert.Check(l.d.t, err == nil && after > 0 && after <= 1, "Retry-After %q", a.header.Get("Retry-After"))
		assert.Check(l.d.t, strings.Contains(a.body, `"rate_limited"`) && strings.Contains(a.body, `"not-run"`), a.body)
	default:
		l.other.Add(1)
	}
}

// check checks the platform's bound for uses since from, and returns the usage per second of the
// last span.
func (l *quotaLoad) check(perSecond float64, from time.Time, span time.Duration) (used float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	allowed := (perSecond*quotaWindow.Seconds()+quotaBurst)*(1+quotaOverage) + quotaSlack
	sum, most, first := 0.0, 0.0, 0
	for i, u := range l.used {
		if u.at.Before(from) {
			first = i + 1
			continue
		}
		sum += u.cost
		for u.at.Sub(l.used[first].at) >= quotaWindow {
			sum -= l.used[first].cost
			first++
		}
		most = max(most, sum)
		if time.Since(u.at) < span {
			used += u.cost
		}
	}
	assert.Check(l.d.t, most <= allowed, "%.0f tokens in a window, %.0f allowed", most, allowed)
	return used / span.Seconds()
}

func runOnQuotaDeployment(t *testing.T, count int, test func(d *deployment)) {
	runOnDeploymentWith(t, func(d *deployment) {
		d.daemonCount = count
		d.settings = []string{"bounds.quotaWindowS=8", "bounds.quotaOverage=0.1", "bounds.quotaSlack=680"}
		for _, u := range d.engines {
			u.StreamEvents, u.EventInterval = 2, time.Millisecond
		}
	}, test)
}

// Guards against daemons that each serve the quota, or as much as callers send: the quota holds
// for all daemons and services together and is used.
func TestQuotaBindsAllDaemons(t *testing.T) {
	t.Parallel()
	counts := []int{1, 3, 7}
	if testing.Short() { // as under the race detector
		counts = []int{3}
	}
	for _, count := range counts {
		t.Run(strconv.Itoa(count), func(t *testing.T) {
			runOnQuotaDeployment(t, count, func(d *deployment) {
				d.setQuota(quotaRate)
				time.Sleep(3 * time.Second)
				from := time.Now()
				load := d.startQuotaLoad()
				time.Sleep(12 * time.Second)
				used := load.check(quotaRate, from, 10*time.Second)
				assert.Check(t, used >= 0.9*quotaRate, "%.0f tokens a second used", used)
				d.setQuota(quotaRate / 10)
				time.Sleep(2*time.Second + quotaWindow)
				lowered := time.Now()
				time.Sleep(10 * time.Second)
				used = load.check(quotaRate/10, lowered, 10*time.Second)
				assert.Check(t, used >= 0.09*quotaRate, "%.0f tokens a second used of a lowered quota", used)
				d.setQuota(quotaRate)
				time.Sleep(2 * time.Second)
				raised := time.Now()
				time.Sleep(4 * time.Second)
				used = load.check(quotaRate, raised, 4*time.Second)
				assert.Check(t, used >= 0.9*quotaRate, "%.0f tokens a second used of a raised quota", used)
				load.stopped.Store(true)
				load.callers.Wait()
				assert.Equal(t, load.other.Load(), int64(0))
				assert.Check(t, time.Duration(load.slowest.Load()) <= 200*time.Millisecond, "a refusal took %s", time.Duration(load.slowest.Load()))
			})
		})
	}
}

// Guards against a quota that is lost, or used twice, while its owner is partitioned from the
// other daemons and goes on to serve.
func TestQuotaHoldsWithoutItsOwner(t *testing.T) {
	t.Parallel()
	runOnQuotaDeployment(t, 7, func(d *deployment) {
		d.setQuota(quotaRate)
		time.Sleep(3 * time.Second)
		from := time.Now()
		load := d.startQuotaLoad()
		time.Sleep(6 * time.Second)
		owner := d.quotaOwner()
		cut := d.processes[owner]
		d.net.SetBlackhole(func(from, address string) bool {
			return strings.HasPrefix(from, "daemon-") && strings.HasPrefix(address, "10.0.0.") && (from == cut.name) != strings.HasPrefix(address, cut.host+":")
		})
		time.Sleep(16 * time.Second)
		used := load.check(quotaRate, from, 8*time.Second)
		assert.Check(t, used >= 0.9*quotaRate, "%.0f tokens a second used", used)
		assert.Check(t, d.quotaOwner() != owner)
		d.net.SetBlackhole(fabric.NoConnections)
		time.Sleep(12 * time.Second)
		load.check(quotaRate, from, time.Second)
		load.stopped.Store(true)
		load.callers.Wait()
		assert.Equal(t, load.other.Load(), int64(0))
	})
}

// quotaOwner returns the index of the daemon that last began to own a bucket.
func (d *deployment) quotaOwner() int {
	owner, at := -1, int64(0)
	for i, p := range d.processes {
		for _, e := range p.log.entries(d.t) {
			if e.ID == eventlog.AllowanceOwned && e.At.Micros > at {
				owner, at = i, e.At.Micros
			}
		}
	}
	assert.Assert(d.t, owner >= 0, "no daemon owns the bucket")
	return owner
}

// Guards against a quota without meaning that keeps the rest of the desired state from coming
// into force.
func TestMalformedQuota(t *testing.T) {
	t.Parallel()
	runOnQuotaDeployment(t, 3, func(d *deployment) {
		for _, value := range []any{"many", -5, true, []int{1}, nil, 1e300} {
			d.setQuota(value)
			time.Sleep(2 * time.Second)
			for range 30 {
				assert.Equal(t, d.ask(d.processes[0], http.MethodPost, modelHost, "/chat/1", nil).status, http.StatusOK, "%v", value)
			}
		}
		lines := 0
		for _, e := range d.processes[0].log.entries(t) {
			if e.ID == eventlog.AllowanceMalformed {
				lines++
			}
		}
		assert.Check(t, lines > 0 && lines <= 2, "%d lines about malformed quotas in 12 s", lines)
	})
}
