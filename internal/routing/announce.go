package routing

import (
	"time"

	"github.com/verbenabend/verbenabend/internal/placement"
	"github.com/verbenabend/verbenabend/internal/prefix"
)

const (
	// announcedBacklogMaxAge is the age at which the tokens of an announced prompt count as
	// computed.
	announcedBacklogMaxAge = peerBacklogMaxAge
	// announcedMaxAge is the age at which an announced prompt no longer counts at all.
	announcedMaxAge = peerLoadMaxAge
	// maxAnnouncedPerEngine bounds the announced prompts that are kept for an engine.
	maxAnnouncedPerEngine = 64
	// maxQueuedAnnouncements bounds the announcements that wait to be taken.
	maxQueuedAnnouncements = 256
	// minReportedQueue and minReportedSlowdown are the numbers of waiting requests and the
	// slowdowns from which an engine's load report is announced.
	minReportedQueue    = 1
	minReportedSlowdown = 1.5
	// reportRepeatInterval is the least time between two announced reports of an engine,
	// whichever daemons announce them.
	reportRepeatInterval = 300 * time.Millisecond
	// readyMargin multiplies the predicted time until an engine has read a prompt, before
	// which nothing is fetched from it: a fetch that comes too early finds nothing.
	readyMargin = 1.25
)

// Announcement tells peers of a long prompt that a daemon has sent to an engine.
type Announcement struct {
	Endpoint string
	// Incarnation is empty if the sender knew another one than this daemon does.
	Incarnation string
	// Key is the hash of the deepest prompt level that other prompts may share.
	Key uint64
	// ComputeTokens is the number of prompt tokens that the engine has to compute,
	// MemoryTokens the number of prompt and output tokens that it has to keep.
	ComputeTokens, MemoryTokens int
	// At is when the prompt was sent.
	At time.Time
	// Weight is the number of prompts that the announcement stands for, 1 or more if the
	// sender announces only a sample.
	Weight float64
}

// Announcements is what a daemon announces at a time.
type Announcements struct {
	Prompts []Announcement
	// Reports are load reports of engines where requests wait or that are slowed down.
	Reports []LoadReport
	// Speeds are samples of engines' speeds.
	Speeds []EngineSpeed
}

// Announcer is implemented by a Scheduler that announces long prompts to peers, in fleets
// too large for the loads of all engines.
type Announcer interface {
	// SetAnnouncing sets whether the daemon announces long prompts instead of its loads.
	SetAnnouncing(now time.Time, on bool)
	// TakeAnnouncements returns what is to be announced since the last call.
	TakeAnnouncements(now time.Time) Announcements
	// ApplyAnnouncements records what a peer announced.
	ApplyAnnouncements(now time.Time, a Announcements)
}

var _ Announcer = (*Policy)(nil)

// announcing is the state of a Policy that announces long prompts.
type announcing struct {
	on      bool
	prompts []Announcement
	reports []LoadReport
	speeds  []EngineSpeed
	// speedFittedAt is when the speed of normal engines was last fitted to a sample.
	speedFittedAt time.Time
	// rates holds the rates of shared prompts over all daemons.
	rates *placement.Rates
	// service averages the time that long prompts run, in seconds, shortMemory the tokens of
	// memory that other requests need.
	service, shortMemory decayingMean
}

// observe records a complete response.
func (x *announcing) observe(a *attempt, duration time.Duration) {
	if a.request.PromptTokens >= longPromptTokens {
		x.service.add(duration.Seconds())
	} else {
		x.shortMemory.add(a.memoryTokens)
	}
}

// SetAnnouncing implements Announcer.
func (p *Policy) SetAnnouncing(now time.Time, on bool) {
	p.setNow(now)
	on = on && p.rules.announcements
	if on == p.announcing.on {
		return
	}
	p.announcing.on, p.announcing.prompts, p.announcing.reports = on, nil, nil
	if on && p.announcing.rates == nil {
		p.announcing.rates = placement.NewRates(rateEntries, now)
	}
	p.recheckNow = true
}

// TakeAnnouncements implements Announcer.
func (p *Policy) TakeAnnouncements(now time.Time) Announcements {
	p.setNow(now)
	out := Announcements{Prompts: p.announcing.prompts, Reports: p.announcing.reports, Speeds: p.announcing.speeds}
	p.announcing.prompts, p.announcing.reports, p.announcing.speeds = nil, nil, nil
	if p.announcing.on {
		p.shareDue = false
	}
	return out
}

// ApplyAnnouncements implements Announcer.
func (p *Policy) ApplyAnnouncements(now time.Time, a Announcements) {
	p.setNow(now)
	if !p.announcing.on {
		return
	}
	for i := range a.Prompts {
		p.applyAnnouncement(now, &a.Prompts[i])
	}
	for _, r := range a.Reports {
		if e := p.byID[r.Endpoint]; e != nil {
			e.reportAnnouncedAt = now
			if r.At.After(e.report.At) {
				e.report = r
			}
		}
	}
	for _, s := range a.Speeds {
		if e := p.byID[s.Endpoint]; e != nil && p.rules.engineSpeeds && s.FirstToken > 0 {
			p.applySpeed(now, e, s)
		}
	}
	p.recheckNow = true
}

func (p *Policy) applyAnnouncement(now time.Time, a *Announcement) {
	if now.Sub(a.At) < announcedMaxAge {
		p.announcing.rates.ObserveWeighted(now, a.Key, a.Weight)
	}
	e := p.byID[a.Endpoint]
	if e == nil {
		return
	}
	p.drainAnnounced(now, e)
	if now.Sub(a.At) >= announcedMaxAge || len(e.announced) >= maxAnnouncedPerEngine {
		return
	}
	prompt := announcedPrompt{
		at: a.At, computeTokens: a.Weight * float64(a.ComputeTokens), memoryTokens: a.Weight * float64(a.MemoryTokens), requests: a.Weight,
	}
	wait := p.engineTokensTime(now, e, p.backlog(now, e)+float64(a.ComputeTokens))
	prompt.endsAt = a.At.Add(max(wait, time.Duration(p.announcing.service.valueOr(initialServiceTime.Seconds())*float64(time.Second))))
	if a.Incarnation == e.ep.Incarnation {
		prompt.key = a.Key
		if !p.hints.Holds(now, a.Key, e.hintKey) {
			prompt.readyAt = a.At.Add(time.Duration(readyMargin * float64(wait)))
		}
		p.hints.Store(now, a.Key, e.hintKey)
	}
	if now.Sub(a.At) >= announcedBacklogMaxAge {
		prompt.computeTokens = 0
	}
	e.announced = append(e.announced, prompt)
}

// announcedPrompt is a prompt that a peer announced.
type announcedPrompt struct {
	at time.Time
	// key is the hash of its shared level; 0 if the engine's incarnation has changed.
	key uint64
	// computeTokens is the number of tokens left to compute. It, memoryTokens and requests
	// are multiplied by the announcement's weight.
	computeTokens, memoryTokens, requests float64
	// readyAt is when the engine will have read the shared level, zero if it held it.
	readyAt time.Time
	// endsAt is when the response is predicted to end.
	endsAt time.Time
}

// drainAnnounced removes what the engine is predicted to have computed of announced prompts
// since the last call, and prompts that have ended.
func (p *Policy) drainAnnounced(now time.Time, e *engine) {
	if len(e.announced) == 0 {
		e.drainedAt = now
		return
	}
	elapsed := now.Sub(e.drainedAt)
	if elapsed <= 0 {
		return
	}
	e.drainedAt = now
	computed := p.speed.TokensIn(elapsed) / p.slowdown(now, e)
	if announced := e.announcedTokens(); e.ownTokens > 0 && announced > 0 {
		computed *= announced / (announced + e.ownTokens)
	}
	kept := e.announced[:0]
	for _, a := range e.announced {
		done := min(a.computeTokens, computed)
		a.computeTokens -= done
		computed -= done
		if now.Sub(a.at) >= announcedBacklogMaxAge {
			a.computeTokens = 0
		}
		if now.Sub(a.at) < announcedMaxAge && (now.Before(a.endsAt) || a.computeTokens > 0) {
			kept = append(kept, a)
		}
	}
	e.announced = kept
}

// announcedTokens returns how many tokens of announced prompts the engine has to compute.
func (e *engine) announcedTokens() float64 {
	sum := 0.0
	for i := range e.announced {
		sum += e.announced[i].computeTokens
	}
	return sum
}

// announcedRequests returns how many announced requests the engine runs.
func (e *engine) announcedRequests() int {
	sum := 0.0
	for i := range e.announced {
		sum += e.announced[i].requests
	}
	return int(sum + 0.5)
}

// announceStart announces an attempt with a long prompt.
func (p *Policy) announceStart(now time.Time, a *attempt) {
	r, e := a.request, a.engine
	if !p.announcing.on || r.PromptTokens < longPromptTokens {
		return
	}
	key := r.Chain.HomeKey()
	p.announcing.rates.ObserveWeighted(now, key, 1)
	if len(r.Chain.Levels) > 1 {
		a.reading = !p.hints.Holds(now, key, e.hintKey)
		p.hints.Store(now, key, e.hintKey)
	}
	if len(p.announcing.prompts) < maxQueuedAnnouncements {
		p.announcing.prompts = append(p.announcing.prompts, Announcement{
			Endpoint: e.ep.ID, Incarnation: e.ep.Incarnation, Key: key, ComputeTokens: int(a.uncachedTokens), MemoryTokens: int(a.memoryTokens), At: now, Weight: 1,
		})
	}
	p.shareDue = true
}

// announceReport announces an engine's load report if requests wait there or it is slowed
// down.
func (p *Policy) announceReport(now time.Time, e *engine) {
	r := &e.report
	if !p.announcing.on || r.Queued < minReportedQueue && r.Slowdown < minReportedSlowdown {
		return
	}
	if now.Sub(e.reportAnnouncedAt) < reportRepeatInterval || len(p.announcing.reports) >= maxQueuedAnnouncements {
		return
	}
	e.reportAnnouncedAt = now
	p.announcing.reports = append(p.announcing.reports, *r)
}

// isReading reports whether the engine has not yet read the prompt level with the given key
// but will without being asked.
func (e *engine) isReading(now time.Time, key uint64) bool {
	for _, a := range e.awaitingFirstToken {
		if a.reading && a.request.Chain.HomeKey() == key {
			return true
		}
	}
	for i := range e.announced {
		if a := &e.announced[i]; a.key == key && now.Before(a.readyAt) {
			return true
		}
	}
	return false
}

// willHold reports whether a prompt with the given key was sent to the engine lately, so
// that the engine holds its shared level once the prompts before it are computed.
func (e *engine) willHold(key uint64) bool {
	for _, a := range e.awaitingFirstToken {
		if a.request.PromptTokens >= longPromptTokens && a.request.Chain.HomeKey() == key {
			return true
		}
	}
	for i := range e.announced {
		if e.announced[i].key == key {
			return true
		}
	}
	return false
}

// engineTokensTime returns the time in which the engine computes tokens at its present speed.
func (p *Policy) engineTokensTime(now time.Time, e *engine, tokens float64) time.Duration {
	return time.Duration(p.slowdown(now, e) * float64(p.speed.TokensTime(tokens)))
}

// announcedBlocks returns the number of leading blocks of a prompt that the engine holds, or
// will hold once it has computed what was sent to it before, because a prompt with the same
// shared levels was sent to it lately. Its cache events tell of these later.
func (p *Policy) announcedBlocks(e *engine, c *prefix.Chain) int {
	if !p.announcing.on || !p.rules.sharedPrefill || len(c.Levels) < 2 || !e.willHold(c.HomeKey()) {
		return 0
	}
	return c.LevelBlocks[len(c.Levels)-2]
}
