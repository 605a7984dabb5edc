// Package enginemodel models a model engine in virtual time: a prefix cache of
// limited memory, continuous batching in a fixed number of slots, prompt
// computation at a shared rate, decoding that slows with the batch, priorities
// of waiting requests, slowdowns, freezes and crashes. It is a fluid model
// without randomness: equal calls give equal events.
package enginemodel

import (
	"math"
	"slices"
	"time"
)

// Job is one attempt at an engine.
type Job struct {
	// ID is unique within a run.
	ID int
	// Pieces are the piece hashes of the prompt.
	Pieces       []uint64
	PromptTokens int
	OutputTokens int
	// Priority orders waiting jobs; higher goes first.
	Priority int
}

// EventKind is what happened to a job.
type EventKind int8

const (
	// Started means that the job got a slot.
	Started EventKind = iota
	// FirstToken means that the prompt is computed.
	FirstToken
	// Finished means that the answer is whole.
	Finished
)

// Event is a change of a job's state.
type Event struct {
	Kind EventKind
	At   time.Duration
	ID   int
	// CachedTokens is set for FirstToken.
	CachedTokens int
}

// Engine is one engine. Times are virtual and must not decrease.
type Engine struct {
	spec     Spec
	cache    *Cache
	now      time.Duration
	slowdown float64
	frozen   bool
	waiting  []*job
	running  []*job
	events   []Event
	computed float64
}

type job struct {
	Job
	cached     int
	prefilling bool
	// remaining tokens of the prompt while prefilling, else of the answer.
	remaining float64
}

// New returns an idle engine with an empty cache.
func New(spec Spec) *Engine {
	return &Engine{spec: spec, cache: NewCache(spec.CachePieces), slowdown: 1}
}

// Submit hands in a job and reports whether the engine takes it.
func (e *Engine) Submit(t time.Duration, j Job) bool {
	e.run(t)
	if len(e.running)+len(e.waiting) >= e.spec.Slots+e.spec.QueueLimit {
		return false
	}
	at := len(e.waiting)
	for at > 0 && e.waiting[at-1].Priority < j.Priority {
		at--
	}
	e.waiting = slices.Insert(e.waiting, at, &job{Job: j})
	e.start()
	return true
}

// Cancel drops a job. What it computed so far is not kept.
func (e *Engine) Cancel(t time.Duration, id int) {
	e.run(t)
	is := func(j *job) bool { return j.ID == id }
	e.waiting = slices.DeleteFunc(e.waiting, is)
	e.running = slices.DeleteFunc(e.running, is)
	e.start()
}

// Advance moves the engine to t and returns all events since the last call.
// The slice is valid until the next call of any method.
func (e *Engine) Advance(t time.Duration) []Event {
	e.run(t)
	out := e.events
	e.events = e.events[:0]
	return out
}

// Next returns the time of the next event; false means that there is none.
func (e *Engine) Next() (time.Duration, bool) {
	if len(e.events) > 0 {
		return e.now, true
	}
	d, ok := e.untilNext()
	return e.now + d, ok
}

// Generated appends to dst how far the answers that run at t have come, in the
// order in which they got their slots.
func (e *Engine) Generated(t time.Duration, dst []Progress) []Progress {
	e.run(t)
	for _, j := range e.running {
		if !j.prefilling {
			dst = append(dst, Progress{ID: j.ID, Tokens: j.OutputTokens - int(math.Ceil(j.remaining))})
		}
	}
	return dst
}

// Progress is the number of tokens generated so far for a job.
type Progress struct{ ID, Tokens int }

// SetSlowdown makes the engine factor times slower than its spec.
func (e *Engine) SetSlowdown(t time.Duration, factor float64) {
	e.run(t)
	e.slowdown = factor
}

// SetFrozen stops or resumes all progress.
func (e *Engine) SetFrozen(t time.Duration, frozen bool) {
	e.run(t)
	e.frozen = frozen
	e.start()
}

// DropCache empties the cache.
func (e *Engine) DropCache() { e.cache.Clear() }

// Crash drops all jobs and the cache.
func (e *Engine) Crash(t time.Duration) {
	e.run(t)
	e.waiting, e.running = nil, nil
	e.cache.Clear()
}

// Load returns how many jobs run and wait.
func (e *Engine) Load() (running, queued int) { return len(e.running), len(e.waiting) }

// ComputedTokens returns the prompt tokens computed since the start.
func (e *Engine) ComputedTokens() float64 { return e.computed }

// run moves to t, recording events on the way.
func (e *Engine) run(t time.Duration) {
	for {
		d, ok := e.untilNext()
		if !ok || e.now+d > t {
			break
		}
		e.progress(d)
		e.now += d
		e.complete()
		e.start()
	}
	e.progress(t - e.now)
	e.now = max(e.now, t)
}

// start gives slots to waiting jobs in order.
func (e *Engine) start() {
	for !e.frozen && len(e.waiting) > 0 && len(e.running) < e.spec.Slots && e.prefilling() < e.spec.PrefillWays {
		j := e.waiting[0]
		e.waiting = slices.Delete(e.waiting, 0, 1)
		j.cached = min(e.cache.Match(j.Pieces)*e.spec.PieceTokens, j.PromptTokens)
		j.prefilling = true
		j.remaining = float64(j.PromptTokens - j.cached)
		e.running = append(e.running, j)
		e.events = append(e.events, Event{Kind: Started, At: e.now, ID: j.ID})
	}
}

func (e *Engine) prefilling() int {
	n := 0
	for _, j := range e.running {
		if j.prefilling {
			n++
		}
	}
	return n
}

// rates returns the tokens a second of each prompt and of each answer.
func (e *Engine) rates() (prefill, decode float64) {
	n := e.prefilling()
	prefill = e.spec.PrefillRate / float64(max(1, n)) / e.slowdown
	decode = e.spec.DecodeRateAt(float64(len(e.running)-n)) / e.slowdown
	if n > 0 {
		decode *= 1 - e.spec.Interference
	}
	return prefill, decode
}

// untilNext returns the time until the first running job changes state.
func (e *Engine) untilNext() (time.Duration, bool) {
	if e.frozen || len(e.running) == 0 {
		return 0, false
	}
	prefill, decode := e.rates()
	least := math.Inf(1)
	for _, j := range e.running {
		rate := decode
		if j.prefilling {
			rate = prefill
		}
		least = min(least, j.remaining/rate)
	}
	return time.Duration(math.Ceil(least * float64(time.Second))), true
}

func (e *Engine) progress(d time.Duration) {
	if e.frozen || d <= 0 {
		return
	}
	prefill, decode := e.rates()
	for _, j := range e.running {
		rate := decode
		if j.prefilling {
			rate = prefill
		}
		done := min(j.remaining, rate*d.Seconds())
		j.remaining -= done
		if j.prefilling {
			e.computed += done
		}
	}
}

// complete moves jobs that are through with their prompt or answer.
func (e *Engine) complete() {
	kept := e.running[:0]
	for _, j := range e.running {
		switch {
		case j.remaining > tokenTolerance:
			kept = append(kept, j)
		case j.prefilling:
			j.prefilling = false
			j.remaining = float64(j.OutputTokens)
			e.cache.Insert(j.Pieces)
			e.events = append(e.events, Event{Kind: FirstToken, At: e.now, ID: j.ID, CachedTokens: j.cached})
			kept = append(kept, j)
		default:
			e.events = append(e.events, Event{Kind: Finished, At: e.now, ID: j.ID})
		}
	}
	clear(e.running[len(kept):])
	e.running = kept
}

// tokenTolerance absorbs rounding of times to nanoseconds, in tokens.
const tokenTolerance = 1e-4
