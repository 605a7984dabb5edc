package peerload

import (
	"bytes"
	"encoding/base64"
	"encoding/binary"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/verbenabend/verbenabend/internal/gossip"
	"github.com/verbenabend/verbenabend/internal/prefix"
	"github.com/verbenabend/verbenabend/internal/routing"
)

const (
	// AnnouncementTTL is the TTL of a fact with announcements. What is left of it at the
	// receiver tells how long relays held the fact back.
	AnnouncementTTL = 2 * time.Second
	// announcementInterval is the least time between two facts of a daemon.
	announcementInterval = 100 * time.Millisecond
	// announcementMaxAge is the age up to which an announcement is sent, and sent again with
	// newer ones: a fact that is replaced before it is relayed loses nothing.
	announcementMaxAge = time.Second
	// reportMaxAge is the age up to which an engine's load report is sent.
	reportMaxAge = 300 * time.Millisecond
	// factBytes is about the size of a fact without its announcements and names, in a frame of
	// its own; promptBytes and reportBytes are about that of an announced prompt and of a report.
	factBytes   = 60
	promptBytes = 24
	reportBytes = 11
	// sampledBudget is the fraction of the budget that announcements may use on average. The
	// rest absorbs bursts: what waits too long is lost, which would bias sums.
	sampledBudget = 0.75
	// budgetBurst is how many seconds of the budget may be saved up.
	budgetBurst = 4.0
	// rateTimeConstant is the time constant of the measured rate of long prompts, in seconds.
	rateTimeConstant = 10.0
	// maxSampling is the greatest sampling factor.
	maxSampling = 100
	// maxReportsPerFact bounds the reports in a fact.
	maxReportsPerFact = 8
	// maxSpeedsPerFact bounds the samples of engines' speeds in a fact; speedBytes is about the
	// size of one.
	maxSpeedsPerFact = 4
	speedBytes       = 11
	// unitTokens, unitAge and unitSpeed are the units in which tokens, ages and times to first
	// token are sent; weights and slowdowns are sent in tenths.
	unitTokens   = 128
	unitAge      = 10 * time.Millisecond
	unitSpeed    = time.Millisecond
	unitWeight   = 10
	unitSlowdown = 10
	promptFields = 7
	reportFields = 5
	speedFields  = 3
	// Limits of a message, checked before memory is allocated for it.
	maxPrompts  = 512
	maxReports  = 64
	maxSpeeds   = 64
	maxCount    = 1 << 20
	maxAgeUnits = 1000
)

// Announcer packs a daemon's announcements of long prompts into facts that keep to a budget
// of bytes. It has no clock and does no I/O; it is not safe for concurrent use.
type Announcer struct {
	daemon, id string
	random     *rand.Rand
	// prompts are the announcements of the last announcementMaxAge, the first unsent of which
	// are the last ones; reports are not sent yet.
	prompts []routing.Announcement
	unsent  int
	reports []routing.LoadReport
	// speeds are samples that are not sent yet; they are sent with prompts or reports only.
	speeds []routing.EngineSpeed
	// serial is the number of the newest announcement.
	serial     uint32
	nextAt     time.Time
	lastAt     time.Time
	available  float64
	perSecond  float64
	sampledOut int
}

// NewAnnouncer returns an Announcer of a daemon. seed seeds the sampling.
func NewAnnouncer(now time.Time, daemon string, seed uint64) *Announcer {
	// The serial numbers of a later process are greater than those of an earlier one, which
	// announced fewer than 1,000 prompts a second.
	return &Announcer{daemon: daemon, id: factID(daemon), random: rand.New(rand.NewPCG(seed, seed)), serial: uint32(now.UnixMilli()), lastAt: now.Add(-time.Second), available: math.Inf(1)}
}

// factID returns the ID of a daemon's facts: a hash, since names are long.
func factID(daemon string) string {
	return base64.RawURLEncoding.EncodeToString(binary.LittleEndian.AppendUint32(nil, Hash(daemon)))
}

// TakeSampledOut returns how many announcements were left out since the last call, because
// of sampling.
func (a *Announcer) TakeSampledOut() int {
	n := a.sampledOut
	a.sampledOut = 0
	return n
}

// Add queues announcements. bytesPerSecond is the daemon's budget for its own facts.
func (a *Announcer) Add(now time.Time, add routing.Announcements, bytesPerSecond float64) {
	a.advance(now, bytesPerSecond)
	for _, prompt := range add.Prompts {
		prompt.Weight = a.sampling(bytesPerSecond)
		a.perSecond += 1 / rateTimeConstant
		if prompt.Weight > 1 && a.random.Float64()*prompt.Weight >= 1 {
			a.sampledOut++
			continue
		}
		a.prompts = append(a.prompts, prompt)
		a.serial++
		a.unsent++
	}
	a.reports = append(a.reports, add.Reports...)
	a.speeds = append(a.speeds, add.Speeds...)
	a.speeds = a.speeds[max(0, len(a.speeds)-maxSpeedsPerFact):]
	if over := len(a.reports) - maxReportsPerFact; over > 0 {
		a.reports = slices.Delete(a.reports, 0, over)
	}
}

// sampling returns how many prompts an announcement has to stand for, in steps that are sent
// exactly.
func (a *Announcer) sampling(bytesPerSecond float64) float64 {
	facts := min(a.perSecond, float64(time.Second/announcementInterval))
	need := facts*float64(a.overhead()) + a.perSecond*promptBytes
	weight := math.Ceil(need/max(1, sampledBudget*bytesPerSecond)*unitWeight) / unitWeight
	return min(max(1, weight), maxSampling)
}

func (a *Announcer) overhead() int { return factBytes + len(a.id) + len(a.daemon) }

// advance adds to the budget and drops what is too old.
func (a *Announcer) advance(now time.Time, bytesPerSecond float64) {
	if elapsed := now.Sub(a.lastAt).Seconds(); elapsed > 0 {
		a.available = min(a.available+elapsed*bytesPerSecond, max(budgetBurst*bytesPerSecond, 4*float64(a.overhead()+promptBytes)))
		a.perSecond *= math.Exp(-elapsed / rateTimeConstant)
		a.lastAt = now
	}
	a.prompts = slices.DeleteFunc(a.prompts, func(p routing.Announcement) bool { return now.Sub(p.At) > announcementMaxAge })
	a.unsent = min(a.unsent, len(a.prompts))
	a.reports = slices.DeleteFunc(a.reports, func(r routing.LoadReport) bool { return now.Sub(r.At) > reportMaxAge })
}

// Pending reports whether announcements wait to be sent.
func (a *Announcer) Pending() bool { return a.unsent > 0 }

// Next returns the fact to publish now and the number of prompts that it announces for the
// first time; ok is false if there is none. Reports alone are sent only while half of the
// saved budget is left.
func (a *Announcer) Next(now time.Time, bytesPerSecond float64) (f gossip.Fact, announced int, ok bool) {
	a.advance(now, bytesPerSecond)
	if now.Before(a.nextAt) || a.unsent == 0 && (len(a.reports) == 0 || a.available < budgetBurst*bytesPerSecond/2) {
		return gossip.Fact{}, 0, false
	}
	cost := float64(a.overhead() + a.unsent*promptBytes)
	if a.available < cost {
		return gossip.Fact{}, 0, false
	}
	// Speeds, reports and older announcements are sent as far as half of the saved budget allows.
	spare := a.available - cost - budgetBurst*bytesPerSecond/2
	fitting := func(n, size int) int {
		n = min(n, int(max(0, spare))/size)
		spare -= float64(n * size)
		return n
	}
	reports := a.reports[:fitting(len(a.reports), reportBytes)]
	speeds := a.speeds[:fitting(len(a.speeds), speedBytes)]
	again := fitting(len(a.prompts)-a.unsent, promptBytes)
	value := encodeAnnouncements(now, a.serial, a.prompts[len(a.prompts)-a.unsent-again:], reports, speeds)
	a.available -= float64(a.overhead() + len(value))
	a.nextAt = now.Add(announcementInterval)
	announced = a.unsent
	a.unsent, a.reports, a.speeds = 0, a.reports[:0], a.speeds[:0]
	return a.fact(value), announced, true
}

func (a *Announcer) fact(value []byte) gossip.Fact {
	return gossip.Fact{Kind: gossip.KindAnnouncement, ID: a.id, TTL: AnnouncementTTL, Value: value}
}

// incarnationHash returns an 8-bit hash, which is enough to notice that an engine's
// incarnation has changed.
func incarnationHash(incarnation string) uint8 { return uint8(prefix.NodeHash(incarnation)) }

func encodeAnnouncements(now time.Time, serial uint32, prompts []routing.Announcement, reports []routing.LoadReport, speeds []routing.EngineSpeed) []byte {
	var b bytes.Buffer
	e := msgpack.NewEncoder(&b)
	e.UseCompactInts(true)
	count := func(n int) { _ = e.EncodeUint(uint64(min(max(0, n), maxCount))) } // writes to a bytes.Buffer do not fail
	age := func(at time.Time) { count(int(min(now.Sub(at)/unitAge, maxAgeUnits))) }
	_ = e.EncodeArrayLen(4)
	_ = e.EncodeUint(uint64(serial))
	prompts = prompts[max(0, len(prompts)-maxPrompts):]
	_ = e.EncodeArrayLen(promptFields * len(prompts))
	for _, p := range prompts {
		_ = e.EncodeUint(uint64(Hash(p.Endpoint)))
		_ = e.EncodeUint(uint64(incarnationHash(p.Incarnation)))
		_ = e.EncodeUint(p.Key)
		count((p.ComputeTokens + unitTokens/2) / unitTokens)
		count((p.MemoryTokens + unitTokens/2) / unitTokens)
		age(p.At)
		count(int(math.Round(p.Weight * unitWeight)))
	}
	_ = e.EncodeArrayLen(reportFields * len(reports))
	for _, r := range reports {
		_ = e.EncodeUint(uint64(Hash(r.Endpoint)))
		count(r.Running)
		count(r.Queued)
		count(int(min(r.Slowdown, maxSlowdown) * unitSlowdown))
		age(r.At)
	}
	_ = e.EncodeArrayLen(speedFields * len(speeds))
	for _, s := range speeds {
		_ = e.EncodeUint(uint64(Hash(s.Endpoint)))
		count((s.Tokens + unitTokens/2) / unitTokens)
		count(int(s.FirstToken / unitSpeed))
	}
	return b.Bytes()
}
