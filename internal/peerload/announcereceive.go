package peerload

import (
	"bytes"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/verbenabend/verbenabend/internal/gossip"
	"github.com/verbenabend/verbenabend/internal/routing"
)

// ServiceEngine is an engine and its service.
type ServiceEngine struct {
	Service string
	IndexedEngine
}

// AnnouncementReceiver decodes the facts of peers and leaves out what it has decoded before.
// It is not safe for concurrent use.
type AnnouncementReceiver struct {
	peers map[string]receivedSerial
	// engines holds the engines of all services by the hash of their endpoints.
	engines map[uint32]ServiceEngine
}

type receivedSerial struct {
	serial uint32
	at     time.Time
}

// serialMaxAge is the time after which a peer's serial number is forgotten: its
// announcements before that are too old to be of use.
const serialMaxAge = 10 * time.Second

// NewAnnouncementReceiver returns a receiver that knows no engines.
func NewAnnouncementReceiver() *AnnouncementReceiver {
	return &AnnouncementReceiver{peers: map[string]receivedSerial{}}
}

// SetEngines replaces the engines.
func (x *AnnouncementReceiver) SetEngines(engines []ServiceEngine) {
	x.engines = make(map[uint32]ServiceEngine, len(engines))
	for _, e := range engines {
		x.engines[Hash(e.Endpoint)] = e
	}
}

// Receive returns, by service, what a fact announces for the first time. The only error is
// ErrMalformed.
func (x *AnnouncementReceiver) Receive(now time.Time, f gossip.Fact) (map[string]routing.Announcements, error) {
	d := decoder{d: msgpack.NewDecoder(bytes.NewReader(f.Value))}
	if d.arrayLen(4) != 4 {
		return nil, ErrMalformed
	}
	publishedAt := now.Add(min(0, f.TTL-AnnouncementTTL))
	age := func() time.Time { return publishedAt.Add(-time.Duration(d.uint(maxAgeUnits)) * unitAge) }
	serial := uint32(d.uint(1<<32 - 1))
	fields := d.arrayLen(promptFields * maxPrompts)
	prompts := fields / promptFields
	fresh := x.fresh(now, f.ID, serial, prompts)
	out := map[string]routing.Announcements{}
	for i := range prompts {
		engine, known := x.engines[uint32(d.uint(1<<32-1))]
		incarnation := uint8(d.uint(1<<8 - 1))
		a := routing.Announcement{
			Endpoint: engine.Endpoint, Key: d.uint(1<<64 - 1), ComputeTokens: unitTokens * int(d.uint(maxCount)), MemoryTokens: unitTokens * int(d.uint(maxCount)),
			At: age(), Weight: min(max(1, float64(d.uint(maxCount))/unitWeight), maxSampling),
		}
		if d.failed || !known || i < prompts-fresh {
			continue
		}
		if incarnationHash(engine.Incarnation) == incarnation {
			a.Incarnation = engine.Incarnation
		}
		list := out[engine.Service]
		list.Prompts = append(list.Prompts, a)
		out[engine.Service] = list
	}
	reports := d.arrayLen(reportFields * maxReports)
	for range reports / reportFields {
		engine, known := x.engines[uint32(d.uint(1<<32-1))]
		r := routing.LoadReport{Endpoint: engine.Endpoint, Running: int(d.uint(maxCount)), Queued: int(d.uint(maxCount)), Slowdown: float64(d.uint(maxCount)) / unitSlowdown, At: age()}
		if d.failed || !known {
			continue
		}
		list := out[engine.Service]
		list.Reports = append(list.Reports, r)
		out[engine.Service] = list
	}
	speeds := d.arrayLen(speedFields * maxSpeeds)
	for range speeds / speedFields {
		engine, known := x.engines[uint32(d.uint(1<<32-1))]
		s := routing.EngineSpeed{Endpoint: engine.Endpoint, Tokens: unitTokens * int(d.uint(maxCount)), FirstToken: time.Duration(d.uint(maxCount)) * unitSpeed}
		if d.failed || !known {
			continue
		}
		list := out[engine.Service]
		list.Speeds = append(list.Speeds, s)
		out[engine.Service] = list
	}
	if d.failed || fields%promptFields != 0 || reports%reportFields != 0 || speeds%speedFields != 0 {
		return nil, ErrMalformed
	}
	x.peers[f.ID] = receivedSerial{serial, now}
	return out, nil
}

// fresh returns how many of the last n announcements of a peer are new, given the serial
// number of the newest one.
func (x *AnnouncementReceiver) fresh(now time.Time, peer string, serial uint32, n int) int {
	for name, p := range x.peers {
		if now.Sub(p.at) > serialMaxAge {
			delete(x.peers, name)
		}
	}
	last, known := x.peers[peer]
	if !known {
		return n
	}
	return min(n, int(max(0, int32(serial-last.serial)))) // the numbers wrap around
}
