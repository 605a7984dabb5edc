package engine

import (
	"context"
	"sync"
)

// token is one event of a generated answer.
type token struct {
	text   string
	finish string
}

// generation is a running or finished answer. It outlives the connection that
// requested it, so that another connection can resume it.
type generation struct {
	id            string
	requestID     string
	organisation  string
	weights       string
	promptTokens  int
	cachedTokens  int
	crashesEngine bool
	cancel        context.CancelFunc

	mu      sync.Mutex
	tokens  []token
	readers int
	done    bool
	updated chan struct{} // closed and replaced when tokens grow
}

func (g *generation) append(t token) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tokens = append(g.tokens, t)
	g.done = t.finish != ""
	close(g.updated)
	g.updated = make(chan struct{})
}

// waitToken returns the token with the given index as soon as it exists, or false
// if the answer ends before that index or ctx ends.
func (g *generation) waitToken(ctx context.Context, index int) (token, bool) {
	for {
		g.mu.Lock()
		if index < len(g.tokens) {
			t := g.tokens[index]
			g.mu.Unlock()
			return t, true
		}
		more, done := g.updated, g.done
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

// addReader counts a connection that reads the answer until done is called.
func (g *generation) addReader() (done func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.readers++
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.readers--
	}
}

func (g *generation) hasReaders() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.readers > 0
}
