package gossip

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

const (
	machineNodes = 5
	machineTTL   = 10 * time.Hour
)

// machine publishes through random daemons while connections are cut and
// silenced and daemons crash and start again. The oracle is the greatest
// version that any living daemon ever held for each fact.
type machine struct {
	t     *testing.T
	nw    *network
	nodes []*Node
	held  []map[string]uint64
}

func newMachine(t *testing.T) *machine {
	nw := newNetwork()
	m := &machine{t: t, nw: nw, nodes: testFleet(t, nw, machineNodes, nil), held: make([]map[string]uint64, machineNodes)}
	for i := range m.held {
		m.held[i] = map[string]uint64{}
	}
	return m
}

func (m *machine) publish(t *rapid.T) {
	kind := rapid.SampledFrom([]Kind{KindDocument, KindEngine, KindSuspect}).Draw(t, "kind")
	f := Fact{Kind: kind, ID: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id"), TTL: machineTTL}
	if kind == KindDocument {
		f.Version = rapid.Uint64Range(1, 50).Draw(t, "revision")
	}
	f.Value = fmt.Appendf(nil, "%d", rapid.IntRange(0, 3).Draw(t, "value"))
	m.nodes[m.draw(t)].Publish(f)
}

func (m *machine) draw(t *rapid.T) int { return rapid.IntRange(0, machineNodes-1).Draw(t, "daemon") }

func (m *machine) cutSome(t *rapid.T) { m.some(t, (*link).close) }

func (m *machine) silenceSome(t *rapid.T) { m.some(t, (*link).silence) }

func (m *machine) some(t *rapid.T, f func(*link)) {
	name := testName(m.draw(t))
	m.nw.each(func(k *link) {
		if k.from == name || k.to == name {
			f(k)
		}
	})
}

func (m *machine) restart(t *rapid.T) {
	i := m.draw(t)
	if rapid.Bool().Draw(t, "crash") {
		crash(m.nw, m.nodes[i])
	} else {
		_ = m.nodes[i].Close()
	}
	m.nw.heal()
	m.nodes[i] = testNode(m.t, m.nw, testName(i), nil)
	m.held[i] = map[string]uint64{}
}

func (m *machine) isolate(t *rapid.T) {
	name := testName(m.draw(t))
	m.nw.mu.Lock()
	m.nw.cut = func(a, b string) bool { return a == name || b == name }
	m.nw.mu.Unlock()
}

func (m *machine) heal(*rapid.T) { m.nw.heal() }

func (m *machine) wait(t *rapid.T) {
	time.Sleep(time.Duration(rapid.IntRange(1, 8000).Draw(t, "millis")) * time.Millisecond)
}

// check holds that no daemon's version of a fact ever becomes less.
func (m *machine) check(t *rapid.T) {
	for i, n := range m.nodes {
		for _, kind := range []Kind{KindDocument, KindEngine, KindSuspect} {
			for _, f := range n.Facts(kind) {
				key := fmt.Sprint(f.Kind, f.ID)
				if f.Version < m.held[i][key] {
					t.Fatalf("daemon %d: %s went from %d back to %d", i, key, m.held[i][key], f.Version)
				}
				m.held[i][key] = f.Version
			}
		}
	}
}

// settle holds that, once faults end, all daemons agree on the greatest
// version held by any of them.
func (m *machine) settle(t *rapid.T) {
	m.nw.heal()
	m.check(t)
	want := map[string]uint64{}
	for _, held := range m.held {
		for key, v := range held {
			want[key] = max(want[key], v)
		}
	}
	eventually(t, 2*DefaultMaxBackoff, "all agree", func() bool {
		m.check(t)
		for _, held := range m.held {
			if fmt.Sprint(held) != fmt.Sprint(want) {
				return false
			}
		}
		return acquainted(m.nodes)() && m.valuesAgree()
	})
}

// valuesAgree reports whether all daemons hold the same value for each fact.
func (m *machine) valuesAgree() bool {
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

// All daemons converge on the greatest version of each fact under cuts,
// silent connections, isolation, crashes and restarts.
func TestConvergence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// The wrapper hides the deadline, which is not allowed in a bubble.
		rapid.Check(struct{ rapid.TB }{t}, func(rt *rapid.T) {
			m := newMachine(t)
			defer func() { closeAll(m.nodes) }()
			time.Sleep(3 * time.Second)
			rt.Repeat(map[string]func(*rapid.T){
				"publish": m.publish, "cut": m.cutSome, "silence": m.silenceSome, "restart": m.restart,
				"isolate": m.isolate, "heal": m.heal, "wait": m.wait, "": m.check,
			})
			m.settle(rt)
		})
	})
}
