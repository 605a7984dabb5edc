package gossip

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

const (
	stateMachineNodes = 5
	stateMachineTTL   = 10 * time.Hour
)

// stateMachine publishes facts through random daemons while connections are
// closed or blackholed and daemons are isolated, crash and restart. The oracle is
// the greatest version of each fact that any running daemon has held.
type stateMachine struct {
	t            *testing.T
	nw           *network
	nodes        []*Node
	lastVersions []map[string]uint64
}

func newStateMachine(t *testing.T) *stateMachine {
	nw := newNetwork()
	m := &stateMachine{t: t, nw: nw, nodes: testFleet(t, nw, stateMachineNodes, nil), lastVersions: make([]map[string]uint64, stateMachineNodes)}
	for i := range m.lastVersions {
		m.lastVersions[i] = map[string]uint64{}
	}
	return m
}

func (m *stateMachine) publish(t *rapid.T) {
	kind := rapid.SampledFrom([]Kind{KindDocument, KindEngine, KindSuspect}).Draw(t, "kind")
	f := Fact{Kind: kind, ID: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id"), TTL: stateMachineTTL}
	if kind == KindDocument {
		f.Version = rapid.Uint64Range(1, 50).Draw(t, "revision")
	}
	f.Value = fmt.Appendf(nil, "%d", rapid.IntRange(0, 3).Draw(t, "value"))
	m.nodes[m.drawDaemon(t)].Publish(f)
}

func (m *stateMachine) drawDaemon(t *rapid.T) int {
	return rapid.IntRange(0, stateMachineNodes-1).Draw(t, "daemon")
}

func (m *stateMachine) closeLinks(t *rapid.T) { m.onLinksOfOneDaemon(t, (*link).close) }

func (m *stateMachine) blackholeLinks(t *rapid.T) { m.onLinksOfOneDaemon(t, (*link).blackhole) }

func (m *stateMachine) onLinksOfOneDaemon(t *rapid.T, f func(*link)) {
	name := testName(m.drawDaemon(t))
	m.nw.eachLink(func(k *link) {
		if k.from == name || k.to == name {
			f(k)
		}
	})
}

func (m *stateMachine) restart(t *rapid.T) {
	i := m.drawDaemon(t)
	if rapid.Bool().Draw(t, "crash") {
		crash(m.nw, m.nodes[i])
	} else {
		_ = m.nodes[i].Close()
	}
	m.nw.heal()
	m.nodes[i] = testNode(m.t, m.nw, testName(i), nil)
	m.lastVersions[i] = map[string]uint64{}
}

func (m *stateMachine) isolate(t *rapid.T) {
	name := testName(m.drawDaemon(t))
	m.nw.mu.Lock()
	m.nw.partitioned = func(a, b string) bool { return a == name || b == name }
	m.nw.mu.Unlock()
}

func (m *stateMachine) heal(*rapid.T) { m.nw.heal() }

func (m *stateMachine) wait(t *rapid.T) {
	time.Sleep(time.Duration(rapid.IntRange(1, 8000).Draw(t, "millis")) * time.Millisecond)
}

// checkVersions checks that no daemon's version of a fact decreases.
func (m *stateMachine) checkVersions(t *rapid.T) {
	for i, n := range m.nodes {
		for _, kind := range []Kind{KindDocument, KindEngine, KindSuspect} {
			for _, f := range n.Facts(kind) {
				key := fmt.Sprint(f.Kind, f.ID)
				if f.Version < m.lastVersions[i][key] {
					t.Fatalf("daemon %d: version of %s decreased from %d to %d", i, key, m.lastVersions[i][key], f.Version)
				}
				m.lastVersions[i][key] = f.Version
			}
		}
	}
}

// checkConvergence ends the faults and checks that all daemons converge on the
// greatest version that any of them holds.
func (m *stateMachine) checkConvergence(t *rapid.T) {
	m.nw.heal()
	m.checkVersions(t)
	want := map[string]uint64{}
	for _, versions := range m.lastVersions {
		for key, v := range versions {
			want[key] = max(want[key], v)
		}
	}
	eventually(t, 2*DefaultMaxBackoff, "all agree", func() bool {
		m.checkVersions(t)
		for _, versions := range m.lastVersions {
			if fmt.Sprint(versions) != fmt.Sprint(want) {
				return false
			}
		}
		return allPeersKnown(m.nodes)() && m.valuesAgree()
	})
}

// valuesAgree reports whether all daemons have the same value for each fact.
func (m *stateMachine) valuesAgree() bool {
	values := map[string]string{}
	for _, n := range m.nodes {
		for _, kind := range []Kind{KindDocument, KindEngine, KindSuspect} {
			for _, f := range n.Facts(kind) {
				key := fmt.Sprint(f.Kind, f.ID)
				if old, ok := values[key]; ok && old != string(f.Value) {
					return false
				}
				values[key] = string(f.Value)
			}
		}
	}
	return true
}

// All daemons converge on the greatest version of each fact after closed and
// blackholed connections, isolation, crashes and restarts.
func TestConvergence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// The wrapper hides t.Deadline, which may not be called in a synctest bubble.
		rapid.Check(struct{ rapid.TB }{t}, func(rt *rapid.T) {
			m := newStateMachine(t)
			defer func() { closeAll(m.nodes) }()
			time.Sleep(3 * time.Second)
			rt.Repeat(map[string]func(*rapid.T){
				"publish": m.publish, "cut": m.closeLinks, "silence": m.blackholeLinks, "restart": m.restart,
				"isolate": m.isolate, "heal": m.heal, "wait": m.wait, "": m.checkVersions,
			})
			m.checkConvergence(rt)
		})
	})
}
