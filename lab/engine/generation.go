package engine

import (
	"context"
	"sync"
)

// token is one event of an answer.
type token struct {
	text   string
	finish string
}

// generation is one running or finished answer. It outlives the connection
// that asked for it, so that another one may resume it.
type generation struct {
	id           string
	requestID    string
	organisation string
	weights      string
	promptTokens int
	cachedTokens int
	poison       bool
	cancel       context.CancelFunc

	mu      sync.Mutex
	tokens  []token
	readers int
	done    bool
	more    chan struct{} // closed and replaced when tokens grow
}

func (g *generation) append(t token) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tokens = append(g.tokens, t)
	g.done = t.finish != ""
	close(g.more)
	g.more = make(chan struct{})
}

// wait returns the token with the given index, waiting for it if need be.
func (g *generation) wait(ctx context.Context, index int) (token, bool) {
	for {
		g.mu.Lock()
		if index < len(g.tokens) {
			t := g.tokens[index]
			g.mu.Unlock()
			return t, true
		}
		more, done := g.more, g.done
		g.mu.Unlock()
		if done {
			return token{}, false
		}
		select {
		case <-more:
		case <-ctx.Done():
			return token{}, false
		}
	}
}

// read counts a connection that reads the answer, until the returned function is called.
func (g *generation) read() (done func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.readers++
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.readers--
	}
}

func (g *generation) isRead() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.readers > 0
}
