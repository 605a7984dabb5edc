package site

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// CacheStore is a stand-in for the external store of cached prompts.
type CacheStore struct {
	Address string

	mu          sync.Mutex
	epoch       int
	unavailable bool
	events      []any
}

// SetUnavailable makes the store unavailable, or available again with a new
// epoch and no content.
func (s *CacheStore) SetUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = unavailable
	s.epoch++
	s.events = nil
}

// addPrompt stores the parts of a prompt, as an engine does after its prefill.
func (s *CacheStore) addPrompt(scope, prompt, model string) {
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
	if s.unavailable {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"epoch": s.epoch + 1, "next": len(s.events), "lost": false, "events": s.events[min(since, len(s.events)):],
	})
}
