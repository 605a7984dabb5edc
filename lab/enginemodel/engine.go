// Package enginemodel simulates a model engine in virtual time: a prefix cache of
// limited size, continuous batching in a fixed number of slots, prefill at a
// shared rate, decoding that slows down with the batch size, priorities of waiting
// requests, slowdowns, freezes and crashes. It is a deterministic fluid model:
// equal calls give equal events.
package enginemodel

import (
	"math"
	"slices"
	"time"
)

// Job is one request submitted to an engine.
type Job struct {
	// ID is unique within a run.
	ID int
	// Blocks are the block hashes of the prompt.
	Blocks       []uint64
	PromptTokens int
	OutputTokens int
	// Priority orders waiting jobs; higher ones start first.
	Priority int
}

// EventKind is a change of a job's state.
type EventKind int8

const (
	// Started means that the job got a slot.
	Started EventKind = iota
	// FirstToken means that the prefill is complete.
	FirstToken
	// Finished means that the response is complete.
	Finished
)

// Event records a change of a job's state.
type Event struct {
	Kind EventKind
	At   time.Duration
	ID   int
	// CachedTokens is set for FirstToken.
	CachedTokens int
}

// Engine is one simulated engine. Times are virtual and must not decrease from
// call to call.
type Engine struct {
	spec           Spec
	cache          *Cache
	now            time.Duration
	slowdown       float64
	frozen         bool
	waiting        []*job
	running        []*job
	events         []Event
	computedTokens float64
}

type job struct {
	Job
	cachedTokens int
	prefilling   bool
	// remainingTokens is the prompt tokens left while prefilling, then the output
	// tokens left.
	remainingTokens float64
}

// New returns an engine without jobs and with an empty cache.
func New(spec Spec) *Engine {
	return &Engine{spec: spec, cache: NewCache(spec.CacheBlocks), slowdown: 1}
}

// Submit queues a job at time t. It returns false if the engine rejects the job
// because slots and queue are full.
func (e *Engine) Submit(t time.Duration, j Job) bool {
	e.advanceTo(t)
	if len(e.running)+len(e.waiting) >= e.spec.Slots+e.spec.QueueLimit {
		return false
	}
	at := len(e.waiting)
	for at > 0 && e.waiting[at-1].Priority < j.Priority {
		at--
	}
	e.waiting = slices.Insert(e.waiting, at, &job{Job: j})
	e.admitWaiting()
	return true
}

// Cancel drops a job without an event. An incomplete prefill is not cached.
func (e *Engine) Cancel(t time.Duration, id int) {
	e.advanceTo(t)
	matches := func(j *job) bool { return j.ID == id }
	e.waiting = slices.DeleteFunc(e.waiting, matches)
	e.running = slices.DeleteFunc(e.running, matches)
	e.admitWaiting()
}

// Advance runs the engine up to t and returns all events since the last call.
// The slice is valid until the next call of any method.
func (e *Engine) Advance(t time.Duration) []Event {
	e.advanceTo(t)
	out := e.events
	e.events = e.events[:0]
	return out
}

// NextEvent returns the time of the next event, or false if there is none.
func (e *Engine) NextEvent() (time.Duration, bool) {
	if len(e.events) > 0 {
		return e.now, true
	}
	d, ok := e.untilNextEvent()
	return e.now + d, ok
}

// AppendProgress appends to dst the progress of the jobs that are decoding at t, in
// the order in which they got their slots.
func (e *Engine) AppendProgress(t time.Duration, dst []Progress) []Progress {
	e.advanceTo(t)
	for _, j := range e.running {
		if !j.prefilling {
			dst = append(dst, Progress{ID: j.ID, Tokens: j.OutputTokens - int(math.Ceil(j.remainingTokens))})
		}
	}
	return dst
}

// Progress is the number of output tokens generated so far for a job.
type Progress struct{ ID, Tokens int }

// SetSlowdown divides the engine's rates by factor, compared with its Spec.
func (e *Engine) SetSlowdown(t time.Duration, factor float64) {
	e.advanceTo(t)
	e.slowdown = factor
}

// SetFrozen stops or resumes all processing.
func (e *Engine) SetFrozen(t time.Duration, frozen bool) {
	e.advanceTo(t)
	e.frozen = frozen
	e.admitWaiting()
}

// DropCache empties the cache.
func (e *Engine) DropCache() { e.cache.Clear() }

// Crash drops all jobs and the cache.
func (e *Engine) Crash(t time.Duration) {
	e.advanceTo(t)
	e.waiting, e.running = nil, nil
	e.cache.Clear()
}

// Load returns the numbers of running and of waiting jobs.
func (e *Engine) Load() (running, queued int) { return len(e.running), len(e.waiting) }

// ComputedTokens returns the number of prompt tokens computed since New.
func (e *Engine) ComputedTokens() float64 { return e.computedTokens }

// advanceTo advances the engine to t and records the events up to then.
func (e *Engine) advanceTo(t time.Duration) {
	for {
		d, ok := e.untilNextEvent()
		if !ok || e.now+d > t {
			break
		}
		e.processTokens(d)
		e.now += d
		e.completeFinished()
		e.admitWaiting()
	}
	e.processTokens(t - e.now)
	e.now = max(e.now, t)
}

// admitWaiting starts waiting jobs in order while slots and prefills are free.
func (e *Engine) admitWaiting() {
	for !e.frozen && len(e.waiting) > 0 && len(e.running) < e.spec.Slots && e.countPrefilling() < e.spec.MaxPrefills {
		j := e.waiting[0]
		e.waiting = slices.Delete(e.waiting, 0, 1)
		j.cachedTokens = min(e.cache.Match(j.Blocks)*e.spec.BlockTokens, j.PromptTokens)
		j.prefilling = true
		j.remainingTokens = float64(j.PromptTokens - j.cachedTokens)
		e.running = append(e.running, j)
		e.events = append(e.events, Event{Kind: Started, At: e.now, ID: j.ID})
	}
}

func (e *Engine) countPrefilling() int {
	n := 0
	for _, j := range e.running {
		if j.prefilling {
			n++
		}
	}
	return n
}

// rates returns the tokens per second of each running prefill and each decode.
func (e *Engine) rates() (prefill, decode float64) {
	n := e.countPrefilling()
	prefill = e.spec.PrefillRate / float64(max(1, n)) / e.slowdown
	decode = e.spec.DecodeRateAt(float64(len(e.running)-n)) / e.slowdown
	if n > 0 {
		decode *= 1 - e.spec.PrefillInterference
	}
	return prefill, decode
}

// untilNextEvent returns the time until the next running job ends its prefill or
// finishes, or false if none will.
func (e *Engine) untilNextEvent() (time.Duration, bool) {
	if e.frozen || len(e.running) == 0 {
		return 0, false
	}
	prefill, decode := e.rates()
	shortest := math.Inf(1)
	for _, j := range e.running {
		rate := decode
		if j.prefilling {
			rate = prefill
		}
		shortest = min(shortest, j.remainingTokens/rate)
	}
	return time.Duration(math.Ceil(shortest * float64(time.Second))), true
}

func (e *Engine) processTokens(d time.Duration) {
	if e.frozen || d <= 0 {
		return
	}
	prefill, decode := e.rates()
	for _, j := range e.running {
		rate := decode
		if j.prefilling {
			rate = prefill
		}
		done := min(j.remainingTokens, rate*d.Seconds())
		j.remainingTokens -= done
		if j.prefilling {
			e.computedTokens += done
		}
	}
}

// completeFinished advances the jobs whose prefill or response is complete.
func (e *Engine) completeFinished() {
	kept := e.running[:0]
	for _, j := range e.running {
		switch {
		case j.remainingTokens > remainingTolerance:
			kept = append(kept, j)
		case j.prefilling:
			j.prefilling = false
			j.remainingTokens = float64(j.OutputTokens)
			e.cache.Insert(j.Blocks)
			e.events = append(e.events, Event{Kind: FirstToken, At: e.now, ID: j.ID, CachedTokens: j.cachedTokens})
			kept = append(kept, j)
		default:
			e.events = append(e.events, Event{Kind: Finished, At: e.now, ID: j.ID})
		}
	}
	clear(e.running[len(kept):])
	e.running = kept
}

// remainingTolerance is the number of remaining tokens that counts as none. It
// absorbs the rounding of times to nanoseconds.
const remainingTolerance = 1e-4
