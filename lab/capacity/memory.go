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
	engineCount       = 600
	organisationCount = 610
	instanceCount     = 930
	hintCount         = 1 << 16
	eventCount        = 8192
)

// measureMemory measures the size of the items that a daemon keeps in memory.
func measureMemory() []result {
	document := documentBody(organisationCount)
	return []result{
		{What: "fact, engine state", Engines: engineCount, BytesEach: heapPerItem(engineCount, nodeWithFacts)},
		{What: "upstream in a snapshot", Engines: engineCount, BytesEach: heapPerItem(engineCount, fleetWithUpstreams)},
		{What: "organisation in a document", BytesEach: heapPerItem(organisationCount, func() any { return acceptDocument(document) })},
		{What: "organisation in a document, encoded", BytesEach: float64(len(document)) / organisationCount},
		{What: "hint", BytesEach: heapPerItem(hintCount, func() any { return placement.NewHints(hintCount, time.Now()) })},
		{What: "event in the ring", BytesEach: heapPerItem(eventCount, logWithEvents)},
		{What: "instance list entry, encoded", BytesEach: encodedInstanceBytes()},
		{What: "engine in load figures, encoded", BytesEach: float64(len(encodedLoads(1))) / enginesPerLoadReport},
		{What: "engine state, encoded", BytesEach: float64(len(encodedEngineState("10.0.0.1:8000")))},
	}
}

// heapPerItem returns the heap that the result of allocate takes, divided by count.
func heapPerItem(count int, allocate func() any) float64 {
	before := liveHeapBytes()
	retained := allocate()
	after := liveHeapBytes()
	runtime.KeepAlive(retained)
	return float64(int64(after)-int64(before)) / float64(count)
}

func liveHeapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func engineAddress(i int) string { return fmt.Sprintf("10.1.%d.%d:8000", i/250, i%250) }

func nodeWithFacts() any {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil
	}
	n, err := gossip.New(gossip.Config{Name: "a", Address: "a", Keys: [][]byte{[]byte("capacity measurement")}, Listener: l})
	if err != nil {
		return nil
	}
	l.Close()
	for i := range engineCount {
		n.Publish(gossip.Fact{Kind: gossip.KindEngine, ID: engineAddress(i), TTL: time.Hour, Value: encodedEngineState(engineAddress(i))})
	}
	return n
}

func fleetWithUpstreams() any {
	f := fleet.New(nil)
	f.ApplyInstanceList(instances(engineCount))
	return f
}

func instances(count int) []platform.Instance {
	var list []platform.Instance
	for i := range count {
		list = append(list, platform.Instance{
			Address: engineAddress(i), Service: "lamp-bench", DataCentre: "merrimack", State: platform.InstanceLive,
			Labels: map[string]string{"accelerator": "large"},
		})
	}
	return list
}

func encodedInstanceBytes() float64 {
	body, err := json.Marshal(instances(instanceCount))
	if err != nil {
		panic(err) // every field can be encoded
	}
	return float64(len(body)) / instanceCount
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

func acceptDocument(body []byte) *servicedoc.Accepted {
	// A daemon keeps a copy of the body, so the measurement includes one.
	a, err := servicedoc.NewAccepted(1, []byte(strings.Clone(string(body))))
	if err != nil {
		panic(err) // the document is valid
	}
	return a
}

func logWithEvents() any {
	l := eventlog.New("a", hclog.NewNullLogger(), eventCount)
	for i := range eventCount {
		l.Emit(eventlog.FirstToken, eventlog.Fields{Service: "lamp-bench", RequestID: fmt.Sprintf("%032d", i), Upstream: engineAddress(i % engineCount)})
	}
	return l
}
