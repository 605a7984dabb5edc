package placement

import "time"

const (
	// speedMemory is the share of the past kept at each observation.
	speedMemory = 0.99
	// perTokenStart is the time a token assumed before anything was observed.
	perTokenStart = 100 * time.Microsecond
	baseStart     = 10 * time.Millisecond
	perTokenMin   = time.Microsecond
)

// Speed learns the time to first token of normal engines as a line: a base
// and a time for each prompt token that must be computed first.
type Speed struct {
	n, x, y, xx, xy float64
	perToken, base  float64 // seconds
}

// NewSpeed returns a Speed with assumptions that the first observations replace.
func NewSpeed() *Speed {
	return &Speed{perToken: perTokenStart.Seconds(), base: baseStart.Seconds()}
}

// Observe records that tokens took d.
func (s *Speed) Observe(tokens float64, d time.Duration) {
	y := d.Seconds()
	s.n = s.n*speedMemory + 1
	s.x = s.x*speedMemory + tokens
	s.y = s.y*speedMemory + y
	s.xx = s.xx*speedMemory + tokens*tokens
	s.xy = s.xy*speedMemory + tokens*y
	s.solve()
}

func (s *Speed) solve() {
	variance := s.xx*s.n - s.x*s.x
	if s.n < 2 {
		return
	}
	if variance <= s.x*s.x*0.01 {
		// Equal amounts of work tell nothing of the slope, only of the base.
		s.base = max(0, (s.y-s.perToken*s.x)/s.n)
		return
	}
	s.perToken = max(perTokenMin.Seconds(), (s.xy*s.n-s.x*s.y)/variance)
	s.base = max(0, (s.y-s.perToken*s.x)/s.n)
}

// Tokens returns the time that tokens take at a normal engine, without the base.
func (s *Speed) Tokens(tokens float64) time.Duration {
	return time.Duration(tokens * s.perToken * float64(time.Second))
}

// Computed returns the number of tokens that a normal engine computes in d.
func (s *Speed) Computed(d time.Duration) float64 { return d.Seconds() / s.perToken }

// FirstToken returns the time to first token behind and including tokens.
func (s *Speed) FirstToken(tokens float64) time.Duration {
	return time.Duration(s.base*float64(time.Second)) + s.Tokens(tokens)
}
