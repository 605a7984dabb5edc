package routing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// callKind is a kind of request in a load pattern.
type callKind struct {
	name, route    string
	priority       int // of the route, 0 is most urgent
	organisation   string
	promptTokens   int
	outputTokens   int
	perSecond      float64
	goal, deadline time.Duration
}

// outcomes counts the ends of the requests of one kind.
type outcomes struct{ sent, onTime, late, missed, refused, refusals int }

func (o outcomes) served() float64 { return float64(o.onTime+o.late) / float64(max(1, o.sent)) }

// value counts a late response half, the middle of what callers state.
func (o outcomes) value() float64 { return float64(o.onTime) + 0.5*float64(o.late) }

// overload is a load pattern on engines that run requests in slots of their own, at a
// fixed speed, behind one daemon.
type overload struct {
	kinds          []callKind
	engines, slots int
	seed           uint64
	duration       time.Duration
}

const (
	simulatedStep       = 5 * time.Millisecond
	simulatedPerToken   = 20 * time.Microsecond
	simulatedPerOutput  = 4 * time.Millisecond
	simulatedBaseTime   = 5 * time.Millisecond
	simulatedMaxRetries = 3
)

// simulatedCall is a request and its retries.
type simulatedCall struct {
	kind      *callKind
	id        int
	deadline  time.Time
	sentAt    time.Time
	attempt   int
	dueAt     time.Time // of the next submission
	endpoint  string
	firstAt   time.Time
	endAt     time.Time
	submitted string
}

// run plays the load pattern with triage on or off. Refused callers return as the daemon
// tells them, up to three times, within a third of their remaining time.
func (o overload) run(triaged bool) (map[string]*outcomes, map[TriageReason]int) {
	p, now := New(Settings{RetryPercent: 100}), epoch
	p.SetTriage(now, triaged)
	p.SetEndpoints(now, testEndpoints(o.engines, o.slots))
	arrivals, jitter := rand.New(rand.NewPCG(o.seed, 1)), rand.New(rand.NewPCG(o.seed, 2))
	result, reasons := map[string]*outcomes{}, map[TriageReason]int{}
	var due, running []*simulatedCall
	waiting := map[string]*simulatedCall{}
	next := 0
	for _, k := range o.kinds {
		result[k.name] = &outcomes{}
	}
	for end := epoch.Add(o.duration); now.Before(end.Add(20 * time.Second)); now = now.Add(simulatedStep) {
		for i := range o.kinds {
			k := &o.kinds[i]
			if now.Before(end) && arrivals.Float64() < k.perSecond*simulatedStep.Seconds() {
				next++
				result[k.name].sent++
				due = append(due, &simulatedCall{kind: k, id: next, sentAt: now, deadline: now.Add(k.deadline), dueAt: now})
			}
		}
		running = slices.DeleteFunc(running, func(c *simulatedCall) bool {
			if !c.firstAt.IsZero() && !now.Before(c.firstAt) {
				p.FirstToken(now, c.submitted, c.endpoint, CachedUnknown)
				switch {
				case !c.firstAt.After(c.sentAt.Add(c.kind.goal)):
					result[c.kind.name].onTime++
				case !c.firstAt.After(c.deadline):
					result[c.kind.name].late++
				default:
					result[c.kind.name].missed++
				}
				c.firstAt = time.Time{}
			}
			if now.Before(c.endAt) {
				return false
			}
			p.Finished(now, c.submitted, c.endpoint, Completed, c.kind.outputTokens)
			return true
		})
		due = slices.DeleteFunc(due, func(c *simulatedCall) bool {
			if c.dueAt.After(now) {
				return false
			}
			c.submitted = fmt.Sprintf("%d.%d", c.id, c.attempt)
			c.attempt++
			waiting[c.submitted] = c
			p.Submit(now, &Request{
				ID: c.submitted, Organisation: c.kind.organisation, Share: 1, Weights: testWeights, PromptTokens: c.kind.promptTokens, MaxOutputTokens: c.kind.outputTokens,
				Class: Class{Name: c.kind.route, Priority: -4 * c.kind.priority, MaxWait: c.kind.goal / 8}, Deadline: c.deadline, FirstTokenGoal: c.kind.goal,
			})
			return true
		})
		for _, a := range p.Advance(now) {
			c := waiting[a.Request.ID]
			if a.Triage != "" {
				reasons[a.Triage]++
			}
			delete(waiting, a.Request.ID)
			if a.Kind == Refuse {
				result[c.kind.name].refusals++
				after := a.RetryAfter
				if !a.Paced {
					after = after/2 + time.Duration(jitter.Int64N(int64(after)+1))
				}
				after = min(after, c.deadline.Sub(now)/3)
				if after <= 0 || c.attempt > simulatedMaxRetries {
					result[c.kind.name].refused++
					continue
				}
				c.dueAt = now.Add(after)
				due = append(due, c)
				continue
			}
			c.endpoint = a.Endpoint
			c.firstAt = now.Add(simulatedBaseTime + time.Duration(c.kind.promptTokens)*simulatedPerToken)
			c.endAt = c.firstAt.Add(time.Duration(c.kind.outputTokens) * simulatedPerOutput)
			running = append(running, c)
		}
	}
	return result, reasons
}

// mixes are load patterns beyond the capacity of the engines, named by what differs
// between their kinds.
func mixes(seed uint64) map[string]overload {
	const ms = time.Millisecond
	return map[string]overload{
		"long less urgent prompts beside short urgent ones": {engines: 4, slots: 6, seed: seed, duration: time.Minute, kinds: []callKind{
			{name: "short", route: "ask", priority: 0, organisation: "a", promptTokens: 400, outputTokens: 40, perSecond: 40, goal: 400 * ms, deadline: 4000 * ms},
			{name: "long", route: "review", priority: 2, organisation: "b", promptTokens: 17_000, outputTokens: 100, perSecond: 30, goal: 1200 * ms, deadline: 6000 * ms},
		}},
		"equal priorities with different deadlines": {engines: 4, slots: 5, seed: seed, duration: time.Minute, kinds: []callKind{
			{name: "soon", route: "ask", priority: 1, organisation: "a", promptTokens: 2_000, outputTokens: 60, perSecond: 40, goal: 500 * ms, deadline: 2000 * ms},
			{name: "later", route: "sort", priority: 1, organisation: "a", promptTokens: 2_000, outputTokens: 60, perSecond: 40, goal: 4000 * ms, deadline: 12_000 * ms},
		}},
		"equal deadlines with very different work": {engines: 4, slots: 5, seed: seed, duration: time.Minute, kinds: []callKind{
			{name: "little", route: "ask", priority: 1, organisation: "a", promptTokens: 500, outputTokens: 20, perSecond: 90, goal: 800 * ms, deadline: 5000 * ms},
			{name: "much", route: "ask", priority: 1, organisation: "a", promptTokens: 16_000, outputTokens: 300, perSecond: 10, goal: 800 * ms, deadline: 5000 * ms},
			{name: "rare", route: "ask", priority: 1, organisation: "b", promptTokens: 16_000, outputTokens: 300, perSecond: 0.5, goal: 800 * ms, deadline: 5000 * ms},
		}},
	}
}

// Guards against overload decisions that cost callers more than refusing the newcomer does,
// or that starve large requests, a rare organisation or an urgent kind.
func TestTriageUnderOverload(t *testing.T) {
	seeds := uint64(3)
	if testing.Short() {
		seeds = 1
	}
	for seed := range seeds {
		for name, o := range mixes(seed) {
			t.Run(fmt.Sprint(name, "/", seed), func(t *testing.T) {
				before, _ := o.run(false)
				after, reasons := o.run(true)
				var valueBefore, valueAfter, sent, served float64
				for _, k := range o.kinds {
					t.Logf("%s: before %+v, after %+v", k.name, *before[k.name], *after[k.name])
					valueBefore += before[k.name].value()
					valueAfter += after[k.name].value()
					sent += float64(after[k.name].sent)
					served += float64(after[k.name].onTime + after[k.name].late)
				}
				t.Logf("value %.1f before, %.1f after; %v", valueBefore, valueAfter, reasons)
				assert.Assert(t, valueAfter > valueBefore)
				for _, k := range o.kinds {
					switch k.name {
					case "short": // the most urgent kind of its mix
						assert.Assert(t, after["short"].served() >= after["long"].served()-0.05)
					case "much":
						assert.Assert(t, after["much"].served() >= served/sent/2)
					case "rare":
						assert.Assert(t, after["rare"].served() >= served/sent/4)
					}
				}
			})
		}
	}
}

// Guards against refusals of requests that engines could serve: long prompts wait for the
// prefill of others while most slots are free.
func TestTriageRefusesNoneForOthersAtLowLoad(t *testing.T) {
	o := mixes(1)["long less urgent prompts beside short urgent ones"]
	o.slots, o.duration = 64, 20*time.Second
	before, _ := o.run(false)
	after, reasons := o.run(true)
	t.Logf("before %+v, after %+v; %v", *before["long"], *after["long"], reasons)
	assert.Equal(t, reasons[TriageLeastLoss], 0)
	assert.Assert(t, after["long"].refusals < before["long"].refusals)
}

// A request whose deadline an idle engine could not meet is refused at once, and only after
// the engines' speed was observed.
func TestUnreachableDeadlineIsRefusedAtOnce(t *testing.T) {
	p, now := partsFleet(4)
	p.SetTriage(now, true)
	kind := func(id string) ActionKind {
		r := partsRequest(id, "", 0, 17_000)
		r.Deadline = now.Add(50 * time.Millisecond)
		p.Submit(now, r)
		return p.Advance(now)[0].Kind
	}
	assert.Equal(t, kind("unknown speed"), Start)
	a := start(t, p, now, partsRequest("first", "desk", 60, 300))
	p.FirstToken(now.Add(20*time.Millisecond), "first", a.Endpoint, CachedUnknown)
	p.Finished(now.Add(400*time.Millisecond), "first", a.Endpoint, Completed, 20)
	now = now.Add(time.Second)
	assert.Equal(t, kind("known speed"), Refuse)
}
