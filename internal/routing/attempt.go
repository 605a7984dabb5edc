package routing

import "time"

// attempt is one request at one engine.
type attempt struct {
	request *Request
	engine  *engine
	sent    time.Time
	first   time.Time
	// tokens is the predicted number of prompt tokens to compute, ahead those
	// of others before them.
	tokens float64
	ahead  float64
	// expected is the time to first token at normal speed, without delay.
	expected time.Duration
	delay    time.Duration
	alone    bool
	// organisation is the hash of the customer's name.
	organisation uint64
	answered     bool
	// hinted is the age of the hint relied on, negative when there was none.
	hinted       time.Duration
	hintedPieces int
	progressAt   time.Time
	progress     int
}

// flight is a request with attempts.
type flight struct {
	request  *Request
	attempts []*attempt
	demand   demand
	hedged   bool
}

func (f *flight) at(endpoint string) *attempt {
	for _, a := range f.attempts {
		if a.engine.ep.ID == endpoint {
			return a
		}
	}
	return nil
}

func (f *flight) answered() bool {
	for _, a := range f.attempts {
		if a.answered {
			return true
		}
	}
	return false
}

func (f *flight) remove(a *attempt) {
	for i, b := range f.attempts {
		if b == a {
			f.attempts = append(f.attempts[:i], f.attempts[i+1:]...)
			return
		}
	}
}
