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
	// engineTTL is the life of an engine's state, renewed at a third of it. It
	// is a quarter of the daemons' own, so that a short run sees renewals.
	engineTTL = 15 * time.Second
	// loadTTL is the life of load figures, published every second.
	loadTTL = 10 * time.Second
	// loadEngines is how many engines one daemon reports on.
	loadEngines = 12
	dataCentres = 3
)

// traffic is what the nodes publish beside their own facts.
type traffic struct {
	engines int
	load    bool
}

// measureGossip runs nodes over loopback and returns the means for one of them.
func measureGossip(nodes int, t traffic, warmup, span time.Duration) (result, error) {
	list, err := startNodes(nodes)
	if err != nil {
		return result{}, err
	}
	defer closeNodes(list)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { t.publish(list, stop) })
	defer wg.Wait()
	defer close(stop)
	time.Sleep(warmup)
	bytes, cpu := sentBytes(list), processorTime()
	time.Sleep(span)
	seconds := span.Seconds() * float64(nodes)
	r := result{What: "gossip", Daemons: nodes, Engines: t.engines, Load: t.load}
	r.SentBytes = float64(sentBytes(list)-bytes) / seconds
	r.CPUMicros = float64((processorTime() - cpu).Microseconds()) / seconds
	for _, n := range list {
		s := n.Stats()
		r.Connections += float64(s.Inbound+s.Outbound) / float64(nodes)
	}
	return r, nil
}

func startNodes(count int) ([]*gossip.Node, error) {
	var seed string
	var list []*gossip.Node
	for i := range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Wrap(err, "listen")
		}
		if i == 0 {
			seed = l.Addr().String()
		}
		n, err := gossip.New(gossip.Config{
			Name: name(i), DataCentre: fmt.Sprintf("dc-%d", i%dataCentres), Address: l.Addr().String(),
			CallerAddress: l.Addr().String(), Keys: [][]byte{[]byte("capacity measurement")}, Seeds: []string{seed}, Listener: l,
		})
		if err != nil {
			return nil, err
		}
		n.Start()
		list = append(list, n)
	}
	return list, nil
}

func name(i int) string { return fmt.Sprintf("daemon-%03d", i) }

func closeNodes(list []*gossip.Node) {
	var wg sync.WaitGroup
	for _, n := range list {
		wg.Go(func() { _ = n.Close() })
	}
	wg.Wait()
}

// publish tells, each second, what daemons tell: both watchers of an engine
// its state, and each daemon its load figures.
func (t traffic) publish(list []*gossip.Node, stop <-chan struct{}) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	byName := map[string]*gossip.Node{}
	var names []string
	for i, n := range list {
		names = append(names, name(i))
		byName[name(i)] = n
	}
	for second := 0; ; second++ {
		// Each engine's state is renewed at a third of its life.
		const renewSeconds = int(engineTTL / 3 / time.Second)
		for e := range t.engines {
			if second != 0 && (second+e)%renewSeconds != 0 {
				continue
			}
			address := fmt.Sprintf("10.0.%d.%d:8000", e/250, e%250)
			for _, w := range fleet.Watchers(address, names) {
				byName[w].Publish(gossip.Fact{Kind: gossip.KindEngine, ID: address, TTL: engineTTL, Value: engineState(address)})
			}
		}
		if t.load {
			for i, n := range list {
				n.Publish(gossip.Fact{Kind: gossip.KindLoad, ID: name(i) + "/lamp-bench", TTL: loadTTL, Value: loads(i + second)})
			}
		}
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
	}
}

func engineState(address string) []byte {
	value, err := msgpack.Marshal(fleet.PeerState{
		Service: "lamp-bench", DataCentre: "merrimack", State: fleet.Serving,
		Incarnation: address + "/1764800000", Weights: []string{"opal@1"}, Slots: 16,
	})
	if err != nil {
		panic(err) // every field can be encoded
	}
	return value
}

func loads(seed int) []byte {
	list := make([]routing.PeerLoad, loadEngines)
	for i := range list {
		list[i] = routing.PeerLoad{
			Endpoint: fmt.Sprint(i), Incarnation: "1", Outstanding: 1000 * ((seed * i) % 37), Requests: (seed + i) % 16, Slowdown: 1 + float64(seed%5),
		}
	}
	return peerload.Encode(list)
}

func sentBytes(list []*gossip.Node) int64 {
	var sum int64
	for _, n := range list {
		sum += n.Stats().SentBytes
	}
	return sum
}

// processorTime returns the processor time of this process, user and system.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
