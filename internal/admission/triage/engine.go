package triage

import "time"

// MaxRank is the greatest rank of a request at an engine.
const MaxRank = 2

// Rank returns the order of a request among others of its kind at an engine where
// requests wait; 0 goes first. It is fixed when the request is sent, and engines preempt
// running requests of a greater rank when their memory runs out. A request is therefore
// ranked behind others only if it is predicted to end within the time of its goal, so that
// later requests seldom find it running, and if engines have not worked on it before.
func (g *Guard) Rank(now time.Time, r *Request) int {
	rank := g.rank(now, r)
	if !g.putBehind(r, rank > 0) {
		return 0
	}
	return rank
}

func (g *Guard) rank(now time.Time, r *Request) int {
	goal := r.Goal.Sub(r.ArrivedAt)
	if r.Goal.IsZero() || r.Restarted || r.Run > goal || g.Owed(r) {
		return 0
	}
	w := Waiting{Request: *r}
	if w.missesGoal(now) {
		w.Stage = Late
	}
	latest, ok := w.LatestStart()
	slack := latest.Sub(now)
	k := g.kind(r)
	k.observeWork(r.Work)
	switch {
	case ok && slack <= goal/2:
		return 0
	case w.Stage == Late:
		return MaxRank
	case r.Work > muchWork*k.meanWork:
		return 1
	default:
		return 0
	}
}

// muchWork is how many times the mean work of its kind a request needs to be ranked
// behind the others of its kind that can meet their goals.
const muchWork = 1.5

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
