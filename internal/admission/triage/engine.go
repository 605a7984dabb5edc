package triage

import "time"

// MaxRank is the greatest rank of a request at an engine.
const MaxRank = 2

// Rank returns the order of a request among others of its kind at an engine; 0 goes first.
// contended says that requests wait there. The rank is fixed when the request is sent, and
// engines preempt running requests of a greater rank when their memory runs out. A request
// is therefore ranked behind others only if it is predicted to run for less than half of
// its time, and if engines have not worked on it before.
func (g *Guard) Rank(now time.Time, r *Request, contended bool) int {
	rank := g.rank(now, r, contended)
	if !g.putBehind(r, rank > 0) {
		return 0
	}
	return rank
}

func (g *Guard) rank(now time.Time, r *Request, contended bool) int {
	goal := r.Goal.Sub(r.ArrivedAt)
	k := g.kind(r)
	k.observeWork(r.Work)
	crowded := k.late > crowdedLate && k.missedBehind <= k.missed+maxMissedBehind
	if !contended && !crowded || r.Goal.IsZero() || r.Restarted || g.Owed(r) || !r.Deadline.IsZero() && 2*r.Run > r.Deadline.Sub(r.ArrivedAt) {
		return 0
	}
	w := Waiting{Request: *r}
	if w.missesGoal(now) {
		w.Stage = Late
	}
	latest, ok := w.LatestStart()
	slack := latest.Sub(now)
	switch {
	case ok && slack <= goal/2:
		return 0
	case w.Stage == Late:
		return MaxRank
	case r.Work > muchWork*k.meanWork, crowded && r.Work > littleWork*k.meanWork:
		return 1
	default:
		return 0
	}
}

// ObserveFirstByte records that an engine began to respond to a request of a rank.
func (g *Guard) ObserveFirstByte(now time.Time, r *Request, rank int) {
	k := g.kind(r)
	if rank > 0 {
		k.missedBehind.add(0, outcomeWeight)
		return
	}
	late := 0.0
	if now.After(r.Goal) {
		late = 1
	}
	k.late.add(late, outcomeWeight)
	k.missed.add(0, outcomeWeight)
	k.missedBehind.add(0, forgetWeight)
}

// ObserveMissed records that a request of a rank waited at an engine in vain.
func (g *Guard) ObserveMissed(r *Request, rank int) {
	k := g.kind(r)
	if rank > 0 {
		k.missedBehind.add(1, outcomeWeight)
		return
	}
	k.late.add(1, outcomeWeight)
	k.missed.add(1, outcomeWeight)
	k.missedBehind.add(0, forgetWeight)
}

// average is a moving average of the fraction of requests with an outcome.
type average float64

func (a *average) add(outcome, weight float64) { *a += average(weight * (outcome - float64(*a))) }

const (
	// outcomeWeight is the weight of a new outcome in the moving averages.
	outcomeWeight = 0.05
	// forgetWeight is the weight by which other outcomes make up for requests that were put
	// behind others and missed their deadlines, so that some are put behind again.
	forgetWeight = 0.01
	// crowdedLate is the fraction of a kind's responses that must miss their goals before
	// some requests are put behind the others so that these meet it.
	crowdedLate = 0.5
	// maxMissedBehind bounds how much more often requests that were put behind others may
	// miss their deadlines than the others.
	maxMissedBehind = 0.05
	// muchWork is how many times the mean work of its kind a request needs to be ranked
	// behind the others of its kind that can meet their goals.
	muchWork = 1.5
	// littleWork is how many times the mean work of its kind a request may need without
	// being put behind others because the engines are crowded.
	littleWork = 0.75
)

// maxRetryFraction is the fraction of its remaining time up to which a caller waits before
// a retry.
const maxRetryFraction = 1.0 / 3

// Returns spaces the retries of refused requests, so that they return one after the other
// when the work before them is predicted to have started.
type Returns struct {
	next map[int]time.Time // by priority
}

// RetryAfter returns after which time a refused request should be sent again. ahead is the
// work in seconds that would start before it, rate the work that starts per second; ok is
// false if the rate is not known. Requests with little time left return first, since
// callers wait for a third of it at most.
func (s *Returns) RetryAfter(now time.Time, r *Request, ahead, rate float64) (after time.Duration, ok bool) {
	if rate <= 0 {
		return 0, false
	}
	if s.next == nil {
		s.next = map[int]time.Time{}
	}
	at := now.Add(seconds(ahead / rate))
	if next := s.next[r.Priority]; next.After(at) {
		at = next
	}
	if !r.Deadline.IsZero() {
		latest := now.Add(time.Duration(maxRetryFraction * float64(r.Deadline.Sub(now))))
		if at.After(latest) {
			return max(0, latest.Sub(now)), true
		}
	}
	s.next[r.Priority] = at.Add(seconds(r.Work / rate))
	return at.Sub(now), true
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxWaitSeconds) * float64(time.Second))
}
