package capacity

import (
	"encoding/json"
	"fmt"
	"net"
	"runtime"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/fleet"
	"github.com/verbenabend/verbenabend/internal/gossip"
	"github.com/verbenabend/verbenabend/internal/placement"
	"github.com/verbenabend/verbenabend/internal/platform"
	"github.com/verbenabend/verbenabend/internal/servicedoc"
)

const (
	engines       = 600
	organisations = 610
	listEntries   = 930
	hints         = 1 << 16
	events        = 8192
)

// memory measures the heap that a daemon's parts take.
func memory() []result {
	document := documentBody(organisations)
	return []result{
		{What: "fact, engine state", Engines: engines, Bytes: each(engines, holdFacts)},
		{What: "upstream in a snapshot", Engines: engines, Bytes: each(engines, holdUpstreams)},
		{What: "organisation in a document", Bytes: each(organisations, func() any { return accepted(document) })},
		{What: "organisation in a document, encoded", Bytes: float64(len(document)) / organisations},
		{What: "hint", Bytes: each(hints, func() any { return placement.NewHints(hints, time.Now()) })},
		{What: "event in the ring", Bytes: each(events, holdEvents)},
		{What: "instance list entry, encoded", Bytes: listBytes()},
		{What: "engine in load figures, encoded", Bytes: float64(len(loads(1))) / loadEngines},
		{What: "engine state, encoded", Bytes: float64(len(engineState("10.0.0.1:8000")))},
	}
}

// each returns the heap of what make holds, divided by count.
func each(count int, make func() any) float64 {
	before := heap()
	held := make()
	after := heap()
	runtime.KeepAlive(held)
	return float64(int64(after)-int64(before)) / float64(count)
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func address(i int) string { return fmt.Sprintf("10.1.%d.%d:8000", i/250, i%250) }

func holdFacts() any {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil
	}
	n, err := gossip.New(gossip.Config{Name: "a", Address: "a", Keys: [][]byte{[]byte("capacity measurement")}, Listener: l})
	if err != nil {
		return nil
	}
	l.Close()
	for i := range engines {
		n.Publish(gossip.Fact{Kind: gossip.KindEngine, ID: address(i), TTL: time.Hour, Value: engineState(address(i))})
	}
	return n
}

func holdUpstreams() any {
	f := fleet.New(nil)
	f.ApplyList(instances(engines))
	return f
}

func instances(count int) []platform.Instance {
	var list []platform.Instance
	for i := range count {
		list = append(list, platform.Instance{
			Address: address(i), Service: "lamp-bench", DataCentre: "merrimack", State: platform.InstanceLive,
			Labels: map[string]string{"accelerator": "large"},
		})
	}
	return list
}

func listBytes() float64 {
	body, err := json.Marshal(instances(listEntries))
	if err != nil {
		panic(err) // every field can be encoded
	}
	return float64(len(body)) / listEntries
}

func documentBody(organisations int) []byte {
	d := servicedoc.Document{Service: "lamp-bench", Kind: servicedoc.KindModel, Models: []servicedoc.Model{{Name: "opal", Version: "1"}}}
	for i := range organisations {
		d.Organisations = append(d.Organisations, servicedoc.Organisation{
			Name: fmt.Sprintf("organisation-%d", i), KeySHA256: []string{fmt.Sprintf("%064x", i)},
		})
	}
	body, err := json.Marshal(d)
	if err != nil {
		panic(err) // every field can be encoded
	}
	return body
}

func accepted(body []byte) *servicedoc.Accepted {
	// The copy is part of what a daemon keeps.
	a, err := servicedoc.NewAccepted(1, []byte(strings.Clone(string(body))))
	if err != nil {
		panic(err) // the document is valid
	}
	return a
}

func holdEvents() any {
	l := eventlog.New("a", hclog.NewNullLogger(), events)
	for i := range events {
		l.Emit(eventlog.FirstToken, eventlog.Fields{Service: "lamp-bench", RequestID: fmt.Sprintf("%032d", i), Upstream: address(i % engines)})
	}
	return l
}
