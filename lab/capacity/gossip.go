package capacity

import (
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/verbenabend/verbenabend/internal/fleet"
	"github.com/verbenabend/verbenabend/internal/gossip"
	"github.com/verbenabend/verbenabend/internal/peerload"
	"github.com/verbenabend/verbenabend/internal/routing"
)

const (
	// engineStateTTL is the TTL of an engine's state, which is renewed after a third
	// of it. It is a quarter of the daemons' TTL, so that a short run sees renewals.
	engineStateTTL = 15 * time.Second
	// loadTTL is the TTL of load figures, which are published every second.
	loadTTL = 10 * time.Second
	// enginesPerLoadReport is the number of engines in one daemon's load figures.
	enginesPerLoadReport = 12
	dataCentreCount      = 3
)

// publishedFacts says what the nodes publish besides the facts about themselves.
type publishedFacts struct {
	engines     int
	loadFigures bool
}

// measureGossip runs gossip nodes over loopback and returns the mean figures per node.
func measureGossip(nodeCount int, facts publishedFacts, warmup, duration time.Duration) (result, error) {
	nodes, err := startNodes(nodeCount)
	if err != nil {
		return result{}, err
	}
	defer closeNodes(nodes)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { facts.publish(nodes, stop) })
	defer wg.Wait()
	defer close(stop)
	time.Sleep(warmup)
	bytes, cpu := sentBytes(nodes), cpuTime()
	time.Sleep(duration)
	seconds := duration.Seconds() * float64(nodeCount)
	r := result{What: "gossip", Daemons: nodeCount, Engines: facts.engines, WithLoad: facts.loadFigures}
	r.SentBytesPerSecond = float64(sentBytes(nodes)-bytes) / seconds
	r.CPUMicrosPerSecond = float64((cpuTime() - cpu).Microseconds()) / seconds
	for _, n := range nodes {
		s := n.Stats()
		r.Connections += float64(s.Inbound+s.Outbound) / float64(nodeCount)
	}
	return r, nil
}

func startNodes(count int) ([]*gossip.Node, error) {
	var seed string
	var nodes []*gossip.Node
	for i := range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Wrap(err, "listen on loopback")
		}
		if i == 0 {
			seed = l.Addr().String()
		}
		n, err := gossip.New(gossip.Config{
			Name: nodeName(i), DataCentre: fmt.Sprintf("dc-%d", i%dataCentreCount), Address: l.Addr().String(),
			CallerAddress: l.Addr().String(), Keys: [][]byte{[]byte("capacity measurement")}, Seeds: []string{seed}, Listener: l,
		})
		if err != nil {
			return nil, err
		}
		n.Start()
		nodes = append(nodes, n)
	}
	return nodes, nil
}

func nodeName(i int) string { return fmt.Sprintf("daemon-%03d", i) }

func closeNodes(nodes []*gossip.Node) {
	var wg sync.WaitGroup
	for _, n := range nodes {
		wg.Go(func() { _ = n.Close() })
	}
	wg.Wait()
}

// publish publishes what daemons would, until stop is closed: the state of each
// engine from all its watchers, renewed in time, and load figures from each daemon
// every second.
func (f publishedFacts) publish(nodes []*gossip.Node, stop <-chan struct{}) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	byName := map[string]*gossip.Node{}
	var names []string
	for i, n := range nodes {
		names = append(names, nodeName(i))
		byName[nodeName(i)] = n
	}
	for second := 0; ; second++ {
		// Each engine's state is renewed after a third of its TTL.
		const renewSeconds = int(engineStateTTL / 3 / time.Second)
		for e := range f.engines {
			if second != 0 && (second+e)%renewSeconds != 0 {
				continue
			}
			address := fmt.Sprintf("10.0.%d.%d:8000", e/250, e%250)
			for _, w := range fleet.Watchers(address, names) {
				byName[w].Publish(gossip.Fact{Kind: gossip.KindEngine, ID: address, TTL: engineStateTTL, Value: encodedEngineState(address)})
			}
		}
		if f.loadFigures {
			for i, n := range nodes {
				n.Publish(gossip.Fact{Kind: gossip.KindLoad, ID: nodeName(i) + "/lamp-bench", TTL: loadTTL, Value: encodedLoads(i + second)})
			}
		}
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
	}
}

func encodedEngineState(address string) []byte {
	value, err := msgpack.Marshal(fleet.PeerState{
		Service: "lamp-bench", DataCentre: "merrimack", State: fleet.Serving,
		Incarnation: address + "/1764800000", Weights: []string{"opal@1"}, Slots: 16,
	})
	if err != nil {
		panic(err) // every field can be encoded
	}
	return value
}

func encodedLoads(seed int) []byte {
	figures := make([]routing.PeerLoad, enginesPerLoadReport)
	for i := range figures {
		figures[i] = routing.PeerLoad{
			Endpoint: fmt.Sprint(i), Incarnation: "1", PendingTokens: 1000 * ((seed * i) % 37), Requests: (seed + i) % 16, Slowdown: 1 + float64(seed%5),
		}
	}
	return peerload.Encode(figures)
}

func sentBytes(nodes []*gossip.Node) int64 {
	var sum int64
	for _, n := range nodes {
		sum += n.Stats().SentBytes
	}
	return sum
}

// cpuTime returns the user and system processor time of this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
