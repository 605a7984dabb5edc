package measure

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/verbenabend/verbenabend/internal/prefix"
	"github.com/verbenabend/verbenabend/lab/enginemodel"
)

// arrival is one request of a trace, with what only the engine model may know.
type arrival struct {
	at           time.Duration
	organisation int
	// root is the first level's number within the organisation.
	root    int
	caller  int
	kind    *kind
	weights int
	chain   prefix.Chain
	prompt  int
	output  int
	allowed int
	// ideal is the number of prompt tokens that one cache as large as all engines' has.
	ideal int
}

// trace is the traffic of one run: the same for all policies.
type trace struct {
	arrivals []arrival
	// capacity is the requests a second that all engines sustain with the ideal hit rate.
	capacity float64
	// engineRate is that of one engine.
	engineRate float64
}

// callersPerOrganisation is the number of processes that keep an entries answer each.
const callersPerOrganisation = 6

// newTrace draws the traffic of a scenario. The capacity comes from the mean
// request of steady traffic with ideal hits.
func newTrace(w workload, s scenario, seed uint64, mean means) trace {
	t := trace{}
	t.engineRate = w.engine.Capacity(mean.prefill, mean.output)
	t.capacity = t.engineRate * float64(w.engines)
	end := w.warm + s.length(w)
	rate := t.capacity
	if s.filled {
		rate /= 1 - mean.longPart
	}
	for o := range w.organisations {
		t.arrivals = append(t.arrivals, organisationArrivals(w, s, seed, o, rate, end)...)
	}
	sort.SliceStable(t.arrivals, func(i, j int) bool { return t.arrivals[i].at < t.arrivals[j].at })
	fillIdeal(w, t.arrivals)
	return t
}

// means describes the mean request and the part of the output that long answers make.
type means struct{ prefill, output, longPart float64 }

// calibrationRequests is the length of the pass that finds the mean request.
const calibrationRequests = 12000

// calibrate returns the mean request of the steady traffic with ideal hits,
// from a pass at an arbitrary rate: the hits depend only on the order of arrivals.
func calibrate(w workload, seed uint64) means {
	end := time.Duration(calibrationRequests) * time.Second / calibrationRate
	var all []arrival
	for o := range w.organisations {
		all = append(all, organisationArrivals(w, scenario{}, seed, o, calibrationRate*3/2, end)...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].at < all[j].at })
	fillIdeal(w, all)
	var m means
	counted := all[len(all)/4:]
	for _, a := range counted {
		m.prefill += float64(a.prompt - a.ideal)
		m.output += float64(a.output)
		if a.kind.long {
			m.longPart += float64(a.output)
		}
	}
	m.longPart /= m.output
	m.prefill /= float64(len(counted))
	m.output /= float64(len(counted))
	return m
}

// calibrationRate is in requests a second of virtual time.
const calibrationRate = 100

// steadyLoad is the offered load as a share of the capacity.
const steadyLoad = 2.0 / 3

// organisationArrivals draws one organisation's Poisson arrivals by thinning
// of a stream at the scenario's peak.
func organisationArrivals(w workload, s scenario, seed uint64, org int, capacity float64, end time.Duration) []arrival {
	r := newRand(seed, fmt.Sprintf("%s organisation %d", w.name, org))
	total := 0
	for _, share := range w.organisations {
		total += share
	}
	base := capacity * steadyLoad * float64(w.organisations[org]) / float64(total)
	peak := s.peak(w, org)
	g := newGenerator(w, seed, org)
	var out []arrival
	for at := exponential(r, time.Duration(float64(time.Second)/(base*peak))); at < end; at += exponential(r, time.Duration(float64(time.Second)/(base*peak))) {
		accept := r.Float64() * peak
		a := g.draw(r, s, at)
		if accept >= s.rate(w, org, at) || s.drops(a.kind) {
			continue
		}
		out = append(out, a)
	}
	return out
}

// generator draws the requests of one organisation.
type generator struct {
	w              workload
	org            int
	roots, branchs zipf
	seed           uint64
}

func newGenerator(w workload, seed uint64, org int) generator {
	return generator{w: w, org: org, seed: seed, roots: newZipf(w.roots, w.rootSkew), branchs: newZipf(w.branches, w.branchSkew)}
}

func (g generator) draw(r *rand.Rand, s scenario, at time.Duration) arrival {
	k := g.kind(r)
	root := g.rank(g.roots.draw(r), g.w.roots, s.shift(g.w, at))
	branch := g.rank(g.branchs.draw(r), g.w.branches, s.shift(g.w, at))
	a := arrival{
		at: at, organisation: g.org, root: root, kind: k, weights: s.weights(g.w, at),
		caller:  g.org*callersPerOrganisation + r.IntN(callersPerOrganisation),
		output:  k.output.draw(r),
		allowed: k.allowed[r.IntN(len(k.allowed))],
	}
	unique := r.Uint64()
	a.chain = g.chain(k, a.weights, uint64(root), uint64(branch), unique, k.question.draw(r))
	a.prompt = a.chain.Bytes / bytesPerToken
	return a
}

func (g generator) kind(r *rand.Rand) *kind {
	n := r.IntN(100)
	for i := range g.w.kinds {
		n -= g.w.kinds[i].part
		if n < 0 {
			return &g.w.kinds[i]
		}
	}
	return &g.w.kinds[0]
}

// rank moves a Zipf rank by the number of hot shifts so far, so that other prefixes are hot.
func (g generator) rank(rank, n, shifts int) int { return (rank + shifts*(n/2)) % n }

// chain builds the identity of a prompt of nested levels directly, as
// prefix.New would from the text: a piece belongs to the level that its last byte is in.
func (g generator) chain(k *kind, weights int, root, branch, unique uint64, question int) prefix.Chain {
	scope := mix(mix(mixName(g.w.name), uint64(g.org)), uint64(weights))
	rootKey := mix(scope, root+1)
	branchKey := mix(rootKey, branch+1)
	levels := []level{{rootKey, lengthOf(g.w.rootBytes, rootKey)}}
	if k.deepest > 1 {
		levels = append(levels, level{branchKey, lengthOf(g.w.branchBytes, branchKey)})
	}
	levels = append(levels, level{mix(levels[len(levels)-1].key, unique), question})
	return newChain(levels)
}

type level struct {
	key   uint64
	bytes int
}

// lengthOf gives every level a fixed length within s.
func lengthOf(s span, key uint64) int {
	return s.low + int(mix(key, uint64(s.high))%uint64(s.high-s.low+1))
}

func newChain(levels []level) prefix.Chain {
	c := prefix.Chain{PieceBytes: pieceBytes}
	for _, l := range levels {
		c.Bytes += l.bytes
		for n := c.Bytes / pieceBytes; len(c.Pieces) < n; {
			c.Pieces = append(c.Pieces, mix(l.key, uint64(len(c.Pieces))))
		}
		c.Levels = append(c.Levels, mix(l.key, levelMark))
		c.LevelPieces = append(c.LevelPieces, len(c.Pieces))
	}
	return c
}

// levelMark separates hashes of levels from hashes of pieces.
const levelMark = 1 << 40

// fillIdeal runs all arrivals through one cache as large as all engines' together.
func fillIdeal(w workload, arrivals []arrival) {
	cache := enginemodel.NewCache(w.engine.CachePieces * w.engines)
	for i := range arrivals {
		a := &arrivals[i]
		a.ideal = min(cache.Match(a.chain.Pieces)*pieceTokens, a.prompt)
		cache.Insert(a.chain.Pieces)
	}
}
