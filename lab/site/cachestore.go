package site

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// CacheStore is a stand-in for the store of cached prompts.
type CacheStore struct {
	Address string

	mu     sync.Mutex
	epoch  int
	down   bool
	events []any
}

// SetDown stops the store, or starts it again with nothing kept.
func (s *CacheStore) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.epoch++
	s.events = nil
}

// save keeps the parts of a prompt, as an engine sends them once it read them.
func (s *CacheStore) save(scope, prompt, model string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, part := range strings.Split(prompt, ",") {
		id, tokens, _ := strings.Cut(part, ":")
		size, _ := strconv.Atoi(tokens)
		s.events = append(s.events, []any{len(s.events) + 1, "+", scope, id, size, model})
	}
}

// ServeHTTP implements http.Handler.
func (s *CacheStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.Atoi(r.URL.Query().Get("since"))
	wait, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
	select {
	case <-time.After(time.Duration(max(wait, 1)) * time.Millisecond):
	case <-r.Context().Done():
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"epoch": s.epoch + 1, "next": len(s.events), "lost": false, "events": s.events[min(since, len(s.events)):],
	})
}
