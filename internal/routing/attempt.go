package routing

import (
	"time"

	"github.com/verbenabend/verbenabend/internal/admission/triage"
)

// attempt is one attempt of a request, at one engine.
type attempt struct {
	request      *Request
	engine       *engine
	sentAt       time.Time
	firstTokenAt time.Time
	// uncachedTokens is the predicted number of prompt tokens that the engine
	// computes for this attempt, tokensAhead the number it computes before them.
	uncachedTokens float64
	tokensAhead    float64
	// memoryTokens is the predicted number of prompt and output tokens that the engine keeps.
	memoryTokens float64
	// reading is true if the engine did not hold the prompt's shared levels when the attempt
	// was sent.
	reading bool
	// expectedFirstToken is the predicted time to first token at normal speed,
	// without network delay.
	expectedFirstToken time.Duration
	// roundTripDelay is the network delay to the engine and back.
	roundTripDelay time.Duration
	isolated       bool
	// organisationHash is the hash of the organisation's name.
	organisationHash uint64
	gotFirstToken    bool
	// rank is the attempt's rank at the engine.
	rank int
	// admitted is set once the attempt has used an allowance of the engine's rate limit.
	admitted bool
	// hintAge is the age of the cache hint that the choice relied on, negative
	// without one; hintedBlocks is the number of blocks that the hint covers.
	hintAge      time.Duration
	hintedBlocks int
	// lastProgressAt is the time of the last token latency sample or of the first
	// token, reportedTokens the number of output tokens received by then.
	lastProgressAt time.Time
	reportedTokens int
}

// inFlight is a request with running attempts: one, or two when hedged.
type inFlight struct {
	request  *Request
	attempts []*attempt
	demand   demand
	hedged   bool
	// triage is that of the queued request.
	triage *triage.Waiting
}

func (f *inFlight) attemptAt(endpoint string) *attempt {
	for _, a := range f.attempts {
		if a.engine.ep.ID == endpoint {
			return a
		}
	}
	return nil
}

func (f *inFlight) gotFirstToken() bool {
	for _, a := range f.attempts {
		if a.gotFirstToken {
			return true
		}
	}
	return false
}

func (f *inFlight) remove(a *attempt) {
	for i, b := range f.attempts {
		if b == a {
			f.attempts = append(f.attempts[:i], f.attempts[i+1:]...)
			return
		}
	}
}
