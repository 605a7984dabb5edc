package routing

import (
	"time"

	"github.com/verbenabend/verbenabend/internal/admission"
	"github.com/verbenabend/verbenabend/internal/placement"
)

const (
	// reportLife is how long an engine's load report is used.
	reportLife = 3 * time.Second
	// ejectFirst is the first pause after a failure; it doubles up to ejectMost.
	ejectFirst = 500 * time.Millisecond
	ejectMost  = 8 * time.Second
)

// engine is what the daemon knows of one incarnation of an engine.
type engine struct {
	ep      Endpoint
	hintKey uint64
	present bool
	// reserved engines are kept for short prompts.
	reserved bool
	// own counts the daemon's attempts there, ownAlone those that must run
	// alone, and ownTokens the prompt tokens that still have to be computed.
	own       int
	ownAlone  int
	ownTokens float64
	// unanswered are the attempts without a first token, in order of sending.
	unanswered []*attempt
	// lastFirst is when the last first token came.
	lastFirst time.Time
	slow      placement.Slowdown
	pace      placement.Pace
	limit     admission.Limit
	prefill   busyPart
	peers     peerSums
	report    LoadReport
	// held are prompt levels that peers should learn of.
	held []uint64
	// cached are the tokens of the parts that the engine says it stores; nil
	// while it is not followed.
	cached map[uint64]int
	// told is set while peers believe that the daemon has something here.
	told     bool
	failures int
	ejected  time.Time
	probing  bool
}

// peerSums adds up what peers shared of an engine.
type peerSums struct {
	tokens   int
	requests int
	// inferred is the greatest slowdown that peers inferred, 0 when none did.
	inferred float64
	// measured is the sum of the slowdowns that peers measured, each times
	// its number of answers, answers.
	measured float64
	answers  int
}

func newEngine(ep Endpoint) *engine {
	return &engine{ep: ep, hintKey: placement.EngineKey(ep.ID, ep.Incarnation)}
}

// statedLife is how long an engine's own word on its slowdown is used; it
// changes many times a second.
const statedLife = 400 * time.Millisecond

// stated returns the slowdown that the engine itself states, 1 when its word
// is old; ok is false for engines that never did.
func (e *engine) stated(now time.Time) (s float64, ok bool) {
	if e.report.Slowdown == 0 {
		return 1, false
	}
	if now.Sub(e.report.At) > statedLife {
		return 1, true
	}
	return max(1, e.report.Slowdown), true
}

// waitingSlowdown returns the slowdown that the longest unanswered attempt proves.
func (e *engine) waitingSlowdown(now time.Time) float64 {
	worst := 1.0
	for _, a := range e.unanswered[:min(len(e.unanswered), waitingLookahead)] {
		worst = max(worst, placement.Ratio(now.Sub(a.sent)-a.delay, a.expected))
	}
	return worst
}

// overrun returns how much longer than predicted the first unanswered attempt
// has waited: work that the daemon did not know of stands before it.
func (e *engine) overrun(now time.Time, slowdown float64) time.Duration {
	if len(e.unanswered) == 0 {
		return 0
	}
	a := e.unanswered[0]
	return max(0, now.Sub(a.sent)-a.delay-time.Duration(slowdown*float64(a.expected)))
}

// waitingLookahead bounds the unanswered attempts that are looked at.
const waitingLookahead = 2

func (e *engine) add(a *attempt) {
	e.own++
	e.ownTokens += a.tokens
	if a.alone {
		e.ownAlone++
	}
	e.unanswered = append(e.unanswered, a)
}

// answered removes an attempt from those that wait for a first token.
func (e *engine) answered(a *attempt) {
	if a.answered {
		return
	}
	a.answered = true
	e.ownTokens = max(0, e.ownTokens-a.tokens)
	for i, b := range e.unanswered {
		if b == a {
			e.unanswered = append(e.unanswered[:i], e.unanswered[i+1:]...)
			return
		}
	}
}

func (e *engine) remove(a *attempt) {
	e.answered(a)
	e.own--
	if a.alone {
		e.ownAlone--
	}
	if e.own == len(e.unanswered) {
		e.pace.Reset()
	}
}

// failed records a failure of an attempt that was sent at the given time.
func (e *engine) failed(now time.Time) {
	pause := min(ejectFirst<<min(e.failures, 6), ejectMost)
	e.failures++
	e.ejected = now.Add(pause)
	e.probing = false
}

// healthy records that the engine works.
func (e *engine) healthy() {
	e.failures = 0
	e.ejected = time.Time{}
	e.probing = false
}
