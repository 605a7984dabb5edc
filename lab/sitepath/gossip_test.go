package sitepath

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/gossip"
	"github.com/verbenabend/verbenabend/lab/fabric"
	"github.com/verbenabend/verbenabend/lab/site"
)

const (
	// observerFanOut is the number of daemons that an observer connects to.
	observerFanOut = 7
	// maxConcurrentPublishers bounds the daemons that may publish the same fact
	// before the first one's has reached them.
	maxConcurrentPublishers = 3
	// goalTTL is the TTL of a goal fact when a daemon learns of the goal.
	goalTTL = time.Hour
	// goalAgeTolerance bounds the error of a goal's age.
	goalAgeTolerance = 250 * time.Millisecond
)

// observer is a member of the daemons' gossip that records what it receives.
type observer struct {
	*gossip.Node
	mu       sync.Mutex
	received []gossip.Fact
}

// observe starts an observer of one kind of facts.
func (d *deployment) observe(index int, kind gossip.Kind) *observer {
	name := fmt.Sprintf("observer-%d", index)
	address := fmt.Sprintf("10.7.0.%d:%d", index+1, gossipPort)
	listener, err := d.net.Listen(address)
	assert.NilError(d.t, err)
	dial := d.net.Dialer(name)
	node, err := gossip.New(gossip.Config{
		Name: name, Address: address, Keys: [][]byte{[]byte(fleetKey)}, Listener: listener, FanOut: observerFanOut,
		Seeds: []string{fmt.Sprintf("%s:%d", hostOf(0), gossipPort), fmt.Sprintf("%s:%d", hostOf(1), gossipPort)},
		Dial:  func(ctx context.Context, address string) (net.Conn, error) { return dial(ctx, "tcp", address) },
	})
	assert.NilError(d.t, err)
	o := &observer{Node: node}
	node.Subscribe(kind, func(f gossip.Fact) {
		o.mu.Lock()
		o.received = append(o.received, f)
		o.mu.Unlock()
	})
	node.Start()
	return o
}

// publications returns the number of different facts received.
func (o *observer) publications() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	distinct := map[string]bool{}
	for _, f := range o.received {
		distinct[fmt.Sprintf("%s %d %s", f.ID, f.Version, f.Origin)] = true
	}
	return len(distinct)
}

// checkGoalAge checks that all known goal facts say that the goal is as old as
// it is.
func checkGoalAge(t *testing.T, o *observer, want time.Duration) {
	t.Helper()
	facts := o.Facts(gossip.KindGoalVersion)
	assert.Assert(t, len(facts) > 0)
	for _, f := range facts {
		age := goalTTL - f.TTL
		assert.Assert(t, (age-want).Abs() < goalAgeTolerance, "%s from %s: age %s, want %s", f.ID, f.Origin, age, want)
	}
}

// When every daemon published a fact for each goal version, a new version
// exhausted the gossip budget of 65 daemons, and load figures were not sent.
func TestGoalFactsDoNotGrowWithDaemons(t *testing.T) {
	t.Parallel()
	for _, size := range []int{8, 24} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDeployment(t, engines)
				defer d.close()
				for i := range size {
					d.start(i)
				}
				first := d.observe(0, gossip.KindGoalVersion)
				defer first.Close()
				d.eventually("all daemons are known", startTimeout, func() bool { return len(first.Peers()) == size })

				d.setGoalVersion(2)
				start := time.Now()
				time.Sleep(4 * time.Second)
				publications := first.publications()
				t.Logf("%d daemons: %d facts for one version", size, publications)
				assert.Assert(t, publications >= 1 && publications <= maxConcurrentPublishers, "%d daemons published %d facts", size, publications)
				checkGoalAge(t, first, time.Since(start))

				// Daemons that start later learn the age and do not reset it.
				time.Sleep(time.Second)
				d.start(size)
				late := d.observe(1, gossip.KindGoalVersion)
				defer late.Close()
				time.Sleep(4 * time.Second)
				checkGoalAge(t, first, time.Since(start))
				checkGoalAge(t, late, time.Since(start))
				for _, f := range late.Facts(gossip.KindGoalVersion) {
					assert.Assert(t, f.Origin != fmt.Sprintf("daemon-%d", size), "published by the daemon that started later")
				}
			})
		})
	}
}

// A daemon that learns of a goal late, from the store and while it has no
// connection to its peers, does not reset the goal's age once it is connected.
func TestLateGoalFactDoesNotResetAge(t *testing.T) {
	t.Parallel()
	runOnDeployment(t, func(d *deployment) {
		first := d.observe(0, gossip.KindGoalVersion)
		defer first.Close()
		d.setGoalVersion(2)
		start := time.Now()
		time.Sleep(4 * time.Second)
		lateHost, lateName := hostOf(daemons), fmt.Sprintf("daemon-%d", daemons)
		gossipSuffix := fmt.Sprintf(":%d", gossipPort)
		d.net.SetPartition(func(from, address string) bool {
			return strings.HasSuffix(address, gossipSuffix) && (from == lateName || strings.HasPrefix(address, lateHost+":"))
		})
		d.start(daemons)
		time.Sleep(4 * time.Second)
		assert.Assert(t, !slices.Contains(first.Peers(), lateName))
		d.net.SetPartition(fabric.NoConnections)
		d.eventually("the late daemon is connected", startTimeout, func() bool { return slices.Contains(first.Peers(), lateName) })
		time.Sleep(2 * time.Second)
		latest := d.observe(1, gossip.KindGoalVersion)
		defer latest.Close()
		time.Sleep(2 * time.Second)
		checkGoalAge(t, first, time.Since(start))
		checkGoalAge(t, latest, time.Since(start))
	})
}

// When each daemon's report of an unresponsive upstream had a value of its own,
// every report was sent to all daemons although they already knew of it.
func TestUnresponsiveUpstreamIsReportedOnce(t *testing.T) {
	t.Parallel()
	runOnDeployment(t, func(d *deployment) {
		o := d.observe(0, gossip.KindUnresponsive)
		defer o.Close()
		d.eventually("all daemons are known", startTimeout, func() bool { return len(o.Peers()) == daemons })
		answer := d.ask(d.processes[0], http.MethodPost, modelHost, "/chat/1", nil)
		assert.Equal(t, answer.status, http.StatusOK)
		index := slices.IndexFunc(d.engines, func(e *site.Upstream) bool { return len(e.Runs()) > 0 })
		silent := d.engines[index] // further requests with the same prefix go there, too
		d.net.SetBlackhole(func(_, address string) bool { return address == silent.Address })
		go d.ask(d.processes[0], http.MethodPost, modelHost, "/chat/1", nil)
		for _, p := range d.processes {
			d.eventually(p.name+" knows of it", stateBound, func() bool {
				return slices.ContainsFunc(p.log.entries(t), func(e eventlog.Entry) bool {
					return e.ID == eventlog.UpstreamDown && e.Upstream == silent.ID
				})
			})
		}
		time.Sleep(time.Second)
		assert.Equal(t, o.publications(), 1)
		d.net.SetBlackhole(fabric.NoConnections)
		time.Sleep(5 * time.Second) // until the requests end
	})
}
