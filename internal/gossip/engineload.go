package gossip

import (
	"bytes"
	"math"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"
)

// EngineLoad is what a daemon has outstanding at an engine and how slow it
// sees the engine.
type EngineLoad struct {
	// Engine is EngineID of the engine.
	Engine uint32
	// Requests is the number of requests, and Outstanding their work in tokens.
	Requests    int
	Outstanding int
	// Slowdown is the observed time over the expected time; 1 is normal.
	Slowdown float64
}

const (
	// maxEngineLoads bounds the engines in one fact.
	maxEngineLoads = 1024
	// levelsPerOctave is the resolution of outstanding work and slowdown:
	// neighbouring levels differ by about 9 %.
	levelsPerOctave = 8
	// slowdownOffset is the level of a slowdown of 1.
	slowdownOffset = 32
	maxLevel       = 255
)

// EngineID names an incarnation of an engine in a load figure by 4 bytes; the
// receiver looks it up among the engines that it knows.
func EngineID(address, incarnation string) uint32 {
	return uint32(xxhash.Sum64String(address + "\x00" + incarnation))
}

// EncodeLoads returns the value of a KindLoad fact: at most 10 bytes an engine.
// Outstanding and Slowdown are rounded to about 9 %.
func EncodeLoads(loads []EngineLoad) []byte {
	loads = loads[:min(len(loads), maxEngineLoads)]
	var buf bytes.Buffer
	e := msgpack.NewEncoder(&buf)
	e.UseCompactInts(true)
	// Writes to a bytes.Buffer do not fail.
	_ = e.EncodeArrayLen(4 * len(loads))
	for _, l := range loads {
		_ = e.EncodeUint(uint64(l.Engine))
		_ = e.EncodeUint(uint64(min(max(l.Requests, 0), math.MaxUint16)))
		_ = e.EncodeUint(workLevel(l.Outstanding))
		_ = e.EncodeUint(slowdownLevel(l.Slowdown))
	}
	return buf.Bytes()
}

// DecodeLoads decodes the value of a KindLoad fact.
func DecodeLoads(value []byte) ([]EngineLoad, error) {
	d := newDecoder(value)
	n := d.arrayLen(4 * maxEngineLoads)
	if n%4 != 0 {
		d.fail()
	}
	var out []EngineLoad
	for range n / 4 {
		if d.err != nil {
			return nil, d.err
		}
		l := EngineLoad{Engine: uint32(d.uint(math.MaxUint32)), Requests: int(d.uint(math.MaxUint16))}
		l.Outstanding = workOf(d.uint(maxLevel))
		l.Slowdown = slowdownOf(d.uint(maxLevel))
		out = append(out, l)
	}
	return out, d.finish()
}

func workLevel(tokens int) uint64 {
	if tokens <= 0 {
		return 0
	}
	return min(uint64(math.Round(levelsPerOctave*math.Log2(float64(tokens))))+1, maxLevel)
}

func workOf(level uint64) int {
	if level == 0 {
		return 0
	}
	return int(math.Round(math.Exp2(float64(level-1) / levelsPerOctave)))
}

func slowdownLevel(slowdown float64) uint64 {
	if !(slowdown > 0) {
		return slowdownOffset
	}
	level := math.Round(levelsPerOctave*math.Log2(slowdown)) + slowdownOffset
	return uint64(min(max(level, 0), maxLevel))
}

func slowdownOf(level uint64) float64 {
	return math.Exp2((float64(level) - slowdownOffset) / levelsPerOctave)
}
