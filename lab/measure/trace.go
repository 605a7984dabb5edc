package measure

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/verbenabend/verbenabend/internal/prefix"
	"github.com/verbenabend/verbenabend/lab/enginemodel"
)

// arrival is one request of a trace. outputTokens and idealCachedTokens are hidden
// from the policies.
type arrival struct {
	at           time.Duration
	organisation int
	// root is the index of the prompt's first level within the organisation.
	root            int
	caller          int
	kind            *requestKind
	weights         int
	chain           prefix.Chain
	promptTokens    int
	outputTokens    int
	maxOutputTokens int
	// idealCachedTokens is the number of prompt tokens found in the ideal cache:
	// a single one as large as all engines' caches together.
	idealCachedTokens int
}

// trace is the traffic of one run, the same for all policies.
type trace struct {
	arrivals []arrival
	// fleetCapacity is the requests per second that all engines together sustain
	// at the ideal hit rate.
	fleetCapacity float64
	// engineCapacity is the requests per second that one engine sustains.
	engineCapacity float64
}

// callersPerOrganisation is the number of processes that each cache an entries response.
const callersPerOrganisation = 6

// newTrace draws the traffic of a scenario. The capacity follows from the mean
// request of steady traffic at the ideal hit rate.
func newTrace(w workload, s scenario, seed uint64, means requestMeans) trace {
	t := trace{}
	t.engineCapacity = w.engine.Capacity(means.prefillTokens, means.outputTokens)
	t.fleetCapacity = t.engineCapacity * float64(w.engines)
	end := w.warmup + s.arrivalsDuration(w)
	rate := t.fleetCapacity
	if s.keepsOfferedWork {
		rate /= 1 - means.longOutputFraction
	}
	for o := range w.organisationShares {
		t.arrivals = append(t.arrivals, organisationArrivals(w, s, seed, o, rate, end)...)
	}
	sort.SliceStable(t.arrivals, func(i, j int) bool { return t.arrivals[i].at < t.arrivals[j].at })
	fillIdealHits(w, t.arrivals)
	return t
}

// requestMeans describes the mean request: the prompt tokens that it has to
// compute, its output tokens, and the fraction of all output tokens that belong
// to long responses.
type requestMeans struct{ prefillTokens, outputTokens, longOutputFraction float64 }

// calibrationRequests is the approximate number of requests that calibrate draws.
const calibrationRequests = 12000

// calibrate returns the mean request of steady traffic at the ideal hit rate. The
// request rate is arbitrary, because hits depend only on the order of arrivals.
func calibrate(w workload, seed uint64) requestMeans {
	end := time.Duration(calibrationRequests) * time.Second / calibrationRequestsPerSecond
	var all []arrival
	for o := range w.organisationShares {
		all = append(all, organisationArrivals(w, scenario{}, seed, o, calibrationRequestsPerSecond*3/2, end)...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].at < all[j].at })
	fillIdealHits(w, all)
	var m requestMeans
	counted := all[len(all)/4:]
	for _, a := range counted {
		m.prefillTokens += float64(a.promptTokens - a.idealCachedTokens)
		m.outputTokens += float64(a.outputTokens)
		if a.kind.long {
			m.longOutputFraction += float64(a.outputTokens)
		}
	}
	m.longOutputFraction /= m.outputTokens
	m.prefillTokens /= float64(len(counted))
	m.outputTokens /= float64(len(counted))
	return m
}

// calibrationRequestsPerSecond is a rate in virtual time.
const calibrationRequestsPerSecond = 100

// steadyLoadFraction is the offered load as a fraction of the capacity.
const steadyLoadFraction = 2.0 / 3

// organisationArrivals draws one organisation's Poisson arrivals by thinning a
// stream at the scenario's peak rate.
func organisationArrivals(w workload, s scenario, seed uint64, org int, capacity float64, end time.Duration) []arrival {
	r := newRand(seed, fmt.Sprintf("%s organisation %d", w.name, org))
	total := 0
	for _, share := range w.organisationShares {
		total += share
	}
	base := capacity * steadyLoadFraction * float64(w.organisationShares[org]) / float64(total)
	peak := s.maxRateFactor(w, org)
	g := newGenerator(w, seed, org)
	var out []arrival
	for at := exponential(r, time.Duration(float64(time.Second)/(base*peak))); at < end; at += exponential(r, time.Duration(float64(time.Second)/(base*peak))) {
		accept := r.Float64() * peak
		a := g.draw(r, s, at)
		if accept >= s.rateFactor(w, org, at) || s.omits(a.kind) {
			continue
		}
		out = append(out, a)
	}
	return out
}

// generator draws the requests of one organisation.
type generator struct {
	workload             workload
	organisation         int
	rootZipf, branchZipf zipf
	seed                 uint64
}

func newGenerator(w workload, seed uint64, org int) generator {
	return generator{workload: w, organisation: org, seed: seed, rootZipf: newZipf(w.rootCount, w.rootSkew), branchZipf: newZipf(w.branchCount, w.branchSkew)}
}

func (g generator) draw(r *rand.Rand, s scenario, at time.Duration) arrival {
	k := g.drawKind(r)
	root := g.shiftedRank(g.rootZipf.draw(r), g.workload.rootCount, s.hotShifts(g.workload, at))
	branch := g.shiftedRank(g.branchZipf.draw(r), g.workload.branchCount, s.hotShifts(g.workload, at))
	a := arrival{
		at: at, organisation: g.organisation, root: root, kind: k, weights: s.weightsVersion(g.workload, at),
		caller:          g.organisation*callersPerOrganisation + r.IntN(callersPerOrganisation),
		outputTokens:    k.outputTokens.draw(r),
		maxOutputTokens: k.maxOutputTokens[r.IntN(len(k.maxOutputTokens))],
	}
	unique := r.Uint64()
	a.chain = g.chain(k, a.weights, uint64(root), uint64(branch), unique, k.questionBytes.draw(r))
	a.promptTokens = a.chain.Bytes / bytesPerToken
	return a
}

func (g generator) drawKind(r *rand.Rand) *requestKind {
	n := r.IntN(100)
	for i := range g.workload.kinds {
		n -= g.workload.kinds[i].percent
		if n < 0 {
			return &g.workload.kinds[i]
		}
	}
	return &g.workload.kinds[0]
}

// shiftedRank moves a Zipf rank by half of n for each hot shift, so that other
// prefixes become hot.
func (g generator) shiftedRank(rank, n, shifts int) int { return (rank + shifts*(n/2)) % n }

// chain builds the prefix.Chain of a prompt with nested levels without its text.
// As with prefix.New, a block belongs to the level that contains its last byte.
func (g generator) chain(k *requestKind, weights int, root, branch, unique uint64, questionBytes int) prefix.Chain {
	scope := mix(mix(hashName(g.workload.name), uint64(g.organisation)), uint64(weights))
	rootKey := mix(scope, root+1)
	branchKey := mix(rootKey, branch+1)
	levels := []promptLevel{{rootKey, levelLength(g.workload.rootBytes, rootKey)}}
	if k.sharedLevels > 1 {
		levels = append(levels, promptLevel{branchKey, levelLength(g.workload.branchBytes, branchKey)})
	}
	levels = append(levels, promptLevel{mix(levels[len(levels)-1].key, unique), questionBytes})
	return newChain(levels)
}

type promptLevel struct {
	key   uint64
	bytes int
}

// levelLength returns a level's length in bytes within s, derived from its key.
func levelLength(s intRange, key uint64) int {
	return s.low + int(mix(key, uint64(s.high))%uint64(s.high-s.low+1))
}

func newChain(levels []promptLevel) prefix.Chain {
	c := prefix.Chain{BlockSize: blockBytes}
	for _, l := range levels {
		c.Bytes += l.bytes
		for n := c.Bytes / blockBytes; len(c.Blocks) < n; {
			c.Blocks = append(c.Blocks, mix(l.key, uint64(len(c.Blocks))))
		}
		c.Levels = append(c.Levels, mix(l.key, levelHashMark))
		c.LevelBlocks = append(c.LevelBlocks, len(c.Blocks))
	}
	return c
}

// levelHashMark keeps the hashes of levels different from those of blocks.
const levelHashMark = 1 << 40

// fillIdealHits sets idealCachedTokens by running all arrivals through the ideal cache.
func fillIdealHits(w workload, arrivals []arrival) {
	cache := enginemodel.NewCache(w.engine.CacheBlocks * w.engines)
	for i := range arrivals {
		a := &arrivals[i]
		a.idealCachedTokens = min(cache.Match(a.chain.Blocks)*blockTokens, a.promptTokens)
		cache.Insert(a.chain.Blocks)
	}
}
