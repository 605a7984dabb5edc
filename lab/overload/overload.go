// Package overload plays load patterns beyond the capacity of the engines against the
// product's scheduler in virtual time, with triage off and on, and counts who is served on
// time, late or not at all.
//
//	go run ./lab overload                     all load patterns, one seed
//	  --pattern fleet-l                       which ones, repeatable
//	  --seed 2 --duration 30s
package overload

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/verbenabend/verbenabend/internal/admission/triage"
	"github.com/verbenabend/verbenabend/internal/prefix"
	"github.com/verbenabend/verbenabend/internal/routing"
)

// Kind is a kind of request in a Pattern.
type Kind struct {
	Name, Route string
	// Priority is the route's, 0 for the most urgent one.
	Priority     int
	Organisation string
	// SharedTokens of the prompt are one of SharedPrompts texts, OwnTokens are its own.
	SharedTokens, OwnTokens, SharedPrompts int
	OutputTokens                           int
	PerSecond                              float64
	Goal, Deadline                         time.Duration
}

// Pattern is a load on engines behind daemons. Callers choose a daemon at random, and
// return after a refusal as they are told, within a third of their remaining time.
type Pattern struct {
	Name             string
	Kinds            []Kind
	Daemons, Engines int
	// Slots and MemoryTokens are those of an engine.
	Slots, MemoryTokens int
	Duration            time.Duration
	Seed                uint64
	// Backlog is for how long the load has been waiting when the daemons start.
	Backlog time.Duration
}

// Outcome counts the requests of a kind by their end, and what happened to them.
type Outcome struct {
	Sent, OnTime, Late, Missed, Refused int
	// Refusals counts responses, also to callers that returned, Preemptions requests that an
	// engine began again.
	Refusals, Preemptions int
}

// Served returns the fraction of requests with a response before their deadline.
func (o Outcome) Served() float64 { return float64(o.OnTime+o.Late) / float64(max(1, o.Sent)) }

// lateValue is the value of a late response in units of one on time; callers state between
// a fifth and three quarters.
const lateValue = 0.5

// Value returns the value of all responses.
func (o Outcome) Value() float64 { return float64(o.OnTime) + lateValue*float64(o.Late) }

const (
	step = 5 * time.Millisecond
	// maxRetries is how often a refused caller returns.
	maxRetries = 3
	// prefillPerStep and outputPerStep are the tokens that an engine computes in a step, of
	// all prompts and of each response: 63.9 prompt tokens a millisecond, 3.7 ms a token.
	prefillPerStep = 63.9 * 5
	outputPerStep  = 5 / 3.7
	// drain is how long requests may end after the last was sent.
	drain = 15 * time.Second
	// prioritiesPerRoute separates the priorities of routes at engines.
	prioritiesPerRoute, lastPriority = 4, 9
)

var startTime = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// call is one request of a caller and its retries.
type call struct {
	kind             *Kind
	id, tries        int
	sentAt, deadline time.Time
	dueAt            time.Time
	shared           string
	submitted        string
	daemon           *routing.Policy
	engine           *engine
	source           string
	priority         int
	prefillLeft      float64
	outputLeft       float64
	answered         bool
}

func (c *call) tokens() int { return c.kind.SharedTokens + c.kind.OwnTokens + c.kind.OutputTokens }

// engine runs requests in slots within its memory, urgent ones first. For an urgent request
// it preempts less urgent ones if its memory is full.
type engine struct {
	id               string
	waiting, running []*call
	// cached are the shared prompts that it holds, the latest last.
	cached []string
}

// simulation is one run of a Pattern.
type simulation struct {
	*Pattern
	now              time.Time
	arrivals, random *rand.Rand
	daemons          []*routing.Policy
	engines          []*engine
	byID             map[string]*engine
	due              []*call
	scheduled        map[string]*call
	outcomes         map[string]*Outcome
	reasons          map[routing.TriageReason]int
}

// Run plays the pattern and returns the outcomes by kind and the decisions of triage.
func (p *Pattern) Run(triaged bool) (map[string]*Outcome, map[routing.TriageReason]int) {
	s := &simulation{
		Pattern: p, now: startTime, arrivals: rand.New(rand.NewPCG(p.Seed, 1)), random: rand.New(rand.NewPCG(p.Seed, 2)),
		byID: map[string]*engine{}, scheduled: map[string]*call{}, outcomes: map[string]*Outcome{}, reasons: map[routing.TriageReason]int{},
	}
	var endpoints []routing.Endpoint
	for i := range p.Engines {
		e := &engine{id: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250)}
		s.engines, s.byID[e.id] = append(s.engines, e), e
		endpoints = append(endpoints, routing.Endpoint{ID: e.id, Incarnation: "1", Weights: []string{"opal"}, Slots: p.Slots, Hash: prefix.NodeHash(e.id), TransferPerToken: time.Microsecond})
	}
	for i := range p.Daemons {
		d := routing.New(routing.Settings{RetryPercent: 100_000, RecomputePrice: 3, HomePrior: 0.9, BatchDelay: 3 * time.Millisecond, Seed: p.Seed<<8 + uint64(i)})
		d.SetDaemonCount(s.now, p.Daemons)
		d.SetEndpoints(s.now, endpoints)
		d.SetTriage(s.now, triaged)
		s.daemons = append(s.daemons, d)
	}
	for i := range p.Kinds {
		s.outcomes[p.Kinds[i].Name] = &Outcome{}
	}
	first := 0
	for range p.Backlog / step {
		first = s.arrive(first)
	}
	for id := first; s.now.Before(startTime.Add(p.Duration + drain)); s.now = s.now.Add(step) {
		if s.now.Before(startTime.Add(p.Duration)) {
			id = s.arrive(id)
		}
		for _, e := range s.engines {
			s.advanceEngine(e)
		}
		s.submitDue()
		for _, d := range s.daemons {
			s.apply(d)
		}
	}
	return s.outcomes, s.reasons
}

func (s *simulation) arrive(id int) int {
	for i := range s.Kinds {
		k := &s.Kinds[i]
		for n := k.PerSecond * step.Seconds(); n > 0; n-- {
			if s.arrivals.Float64() >= n {
				continue
			}
			id++
			s.outcomes[k.Name].Sent++
			s.due = append(s.due, &call{kind: k, id: id, sentAt: s.now, deadline: s.now.Add(k.Deadline), dueAt: s.now, shared: fmt.Sprint(k.Name, s.arrivals.IntN(max(1, k.SharedPrompts)))})
		}
	}
	return id
}

func (s *simulation) submitDue() {
	s.due = slices.DeleteFunc(s.due, func(c *call) bool {
		if c.dueAt.After(s.now) {
			return false
		}
		k := c.kind
		c.submitted = fmt.Sprintf("%d.%d", c.id, c.tries)
		c.tries++
		c.daemon = s.daemons[s.random.IntN(len(s.daemons))]
		s.scheduled[c.submitted] = c
		c.daemon.Submit(s.now, &routing.Request{
			ID: c.submitted, Organisation: k.Organisation, Share: 1, Weights: "opal", PromptTokens: k.SharedTokens + k.OwnTokens, MaxOutputTokens: k.OutputTokens,
			Chain: prefix.NewFromParts("", []prefix.Part{{ID: c.shared, Tokens: k.SharedTokens}, {ID: c.submitted, Tokens: k.OwnTokens}}),
			Class: routing.Class{Name: k.Route, Priority: -prioritiesPerRoute * k.Priority, MaxWait: k.Goal / 8}, Deadline: c.deadline, FirstTokenGoal: k.Goal,
		})
		return true
	})
}

func (s *simulation) apply(d *routing.Policy) {
	for _, a := range d.Advance(s.now) {
		c := s.scheduled[a.Request.ID]
		delete(s.scheduled, a.Request.ID)
		if a.Triage != "" {
			s.reasons[a.Triage]++
		}
		if a.Kind == routing.Refuse {
			s.refuse(c, a)
			continue
		}
		c.engine, c.source = s.byID[a.Endpoint], a.Source
		c.priority = min(lastPriority, prioritiesPerRoute*c.kind.Priority+min(a.Rank, triage.MaxRank))
		c.engine.push(c)
	}
}

func (s *simulation) refuse(c *call, a routing.Action) {
	o := s.outcomes[c.kind.Name]
	o.Refusals++
	after := a.RetryAfter
	if !a.Paced { // as the gateway spreads retries
		after = after/2 + time.Duration(s.random.Int64N(int64(after)+1))
	}
	after = min(after, c.deadline.Sub(s.now)/3)
	if after <= 0 || c.tries > maxRetries {
		o.Refused++
		return
	}
	c.dueAt = s.now.Add(after)
	s.due = append(s.due, c)
}

// push queues a request behind those of its priority.
func (e *engine) push(c *call) {
	at := len(e.waiting)
	for at > 0 && e.waiting[at-1].priority > c.priority {
		at--
	}
	e.waiting = slices.Insert(e.waiting, at, c)
}

func (s *simulation) advanceEngine(e *engine) {
	e.waiting = slices.DeleteFunc(e.waiting, func(c *call) bool { return s.expire(e, c) })
	e.running = slices.DeleteFunc(e.running, func(c *call) bool { return s.expire(e, c) })
	for len(e.waiting) > 0 && s.admit(e, e.waiting[0]) {
	}
	budget := prefillPerStep
	for _, c := range e.running {
		done := min(budget, c.prefillLeft)
		c.prefillLeft -= done
		budget -= done
	}
	e.running = slices.DeleteFunc(e.running, func(c *call) bool {
		if c.prefillLeft > 0 {
			return false
		}
		if !c.answered {
			s.answer(e, c)
		}
		c.outputLeft -= outputPerStep
		if c.outputLeft > 0 {
			return false
		}
		c.daemon.Finished(s.now, c.submitted, e.id, routing.Completed, c.kind.OutputTokens)
		return true
	})
}

// expire ends a request whose deadline has passed before its first token.
func (s *simulation) expire(e *engine, c *call) bool {
	if c.answered || s.now.Before(c.deadline) {
		return false
	}
	s.outcomes[c.kind.Name].Missed++
	c.daemon.Finished(s.now, c.submitted, e.id, routing.Canceled, 0)
	return true
}

// admit starts the first waiting request if there is room for it.
func (s *simulation) admit(e *engine, c *call) bool {
	if len(e.running) >= s.Slots {
		return false
	}
	used, preemptible := 0, 0
	for _, r := range e.running {
		used += r.tokens()
		if r.priority > c.priority {
			preemptible += r.tokens()
		}
	}
	if used-preemptible+c.tokens() > s.MemoryTokens {
		return false
	}
	e.waiting = e.waiting[1:]
	for used+c.tokens() > s.MemoryTokens {
		worst := 0
		for i, r := range e.running {
			if r.priority >= e.running[worst].priority {
				worst = i // the newest of the least urgent
			}
		}
		r := e.running[worst]
		used -= r.tokens()
		e.running = slices.Delete(e.running, worst, worst+1)
		s.outcomes[r.kind.Name].Preemptions++
		e.push(r)
	}
	c.prefillLeft, c.outputLeft = float64(c.kind.OwnTokens), float64(c.kind.OutputTokens)
	if !e.holds(c.shared) && (s.byID[c.source] == nil || !s.byID[c.source].holds(c.shared)) {
		c.prefillLeft += float64(c.kind.SharedTokens)
	}
	e.running = append(e.running, c)
	return true
}

func (e *engine) holds(shared string) bool { return slices.Contains(e.cached, shared) }

// answer sends the first token, with the engine's load.
func (s *simulation) answer(e *engine, c *call) {
	c.answered = true
	o := s.outcomes[c.kind.Name]
	if s.now.Sub(c.sentAt) <= c.kind.Goal {
		o.OnTime++
	} else {
		o.Late++
	}
	e.cached = append(slices.DeleteFunc(e.cached, func(x string) bool { return x == c.shared }), c.shared)
	if room := max(1, s.MemoryTokens/2/max(1, c.kind.SharedTokens)); len(e.cached) > room && c.kind.SharedTokens > 0 {
		e.cached = e.cached[len(e.cached)-room:]
	}
	c.daemon.FirstToken(s.now, c.submitted, e.id, routing.CachedUnknown)
	c.daemon.ApplyLoadReport(s.now, routing.LoadReport{Endpoint: e.id, At: s.now, Running: len(e.running), Queued: len(e.waiting)})
}
