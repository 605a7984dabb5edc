// Package engine is a stand-in for a model engine: it caches prompt prefixes
// in limited memory, streams deterministic answers, resumes and cancels
// streams, takes orders, and fails on demand.
package engine

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/verbenabend/verbenabend/internal/prefix"
	"github.com/verbenabend/verbenabend/internal/upstream/httpengine"
	"github.com/verbenabend/verbenabend/lab/httpjson"
)

// Config sets up an engine. Zero values select the defaults.
type Config struct {
	Weights []string
	// Slots bounds concurrent generations; default 8.
	Slots int
	// CachePieces is the size of the prefix cache; default 4000 pieces.
	CachePieces int
	// PieceBytes is the size of a piece; default 4000 bytes.
	PieceBytes int
	// PrefillBytesPerSecond is the speed of computing a prompt; default 4 MB/s.
	PrefillBytesPerSecond int
	// TokenInterval is the time between tokens; default 2 ms.
	TokenInterval time.Duration
	// LoadTime is how long loading weights takes; default 1 s.
	LoadTime time.Duration
	// IgnoreFence accepts orders whatever their fencing number.
	IgnoreFence bool
}

// Faults is the body of POST /control.
type Faults struct {
	// Crash drops every connection and restarts the engine with an empty cache.
	Crash bool `json:"crash"`
	// Freeze stops all progress, while connections stay open.
	Freeze bool `json:"freeze"`
	// Silence stops bytes on the streams that are open now; new connections work.
	Silence bool `json:"silence"`
	// Slowdown multiplies all times; 0 or 1 is normal.
	Slowdown float64 `json:"slowdown"`
	// Leaving makes the engine say that it is leaving.
	Leaving bool `json:"leaving"`
}

// BytesPerToken is how many bytes of prompt the engine counts as one token.
const BytesPerToken = 4

// PoisonText crashes the engine when a prompt contains it.
const PoisonText = "[[crash the engine]]"

const maxBodyBytes = 64 << 20

// Server is the stand-in.
type Server struct {
	config Config
	mux    *http.ServeMux
	// OnCrash is called when the engine crashes, before it restarts; a
	// process exits there. May be nil.
	OnCrash func()

	mu          sync.Mutex
	incarnation string
	cache       *cache
	streams     map[string]*generation
	weights     []string
	role        string
	loading     bool
	fence       uint64
	running     int
	queued      int
	started     uint64
	asked       uint64
	runs        map[string]int
	faults      Faults
	life        context.Context // ends when the engine crashes
	kill        context.CancelFunc
	silenced    chan struct{} // closed to silence the streams that are open
	slots       chan struct{}
}

// New returns an engine that serves.
func New(c Config) *Server {
	c.Slots = cmp.Or(c.Slots, 8)
	c.CachePieces = cmp.Or(c.CachePieces, 4000)
	c.PieceBytes = cmp.Or(c.PieceBytes, 4000)
	c.PrefillBytesPerSecond = cmp.Or(c.PrefillBytesPerSecond, 4_000_000)
	c.TokenInterval = cmp.Or(c.TokenInterval, 2*time.Millisecond)
	c.LoadTime = cmp.Or(c.LoadTime, time.Second)
	s := &Server{config: c, mux: http.NewServeMux(), weights: slices.Clone(c.Weights), role: "mixed"}
	s.runs = map[string]int{}
	s.reset()
	s.mux.HandleFunc("POST /v1/chat/completions", s.generate)
	s.mux.HandleFunc("GET /v1/streams/{id}", s.resume)
	s.mux.HandleFunc("DELETE /v1/streams/{id}", s.cancelStream)
	s.mux.HandleFunc("GET /state", s.state)
	s.mux.HandleFunc("GET /cache/events", s.cacheEvents)
	s.mux.HandleFunc("POST /orders", s.order)
	s.mux.HandleFunc("POST /control", s.control)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetLeaving makes the engine say that it is leaving, with no other fault.
func (s *Server) SetLeaving() { s.SetFaults(Faults{Leaving: true}) }

// Asked returns how many generations were asked for, with those refused.
func (s *Server) Asked() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.asked
}

// Answer returns what every word of the answer to a prompt begins with.
func Answer(organisation string, levels []string) string {
	return fmt.Sprintf("%016x", prefix.NodeHash(organisation+"\x00"+strings.Join(levels, "\x00")))
}

// Runs returns how often each request was started, by request id.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}

// Started returns how many generations were started in all incarnations.
func (s *Server) Started() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.started
}

func (s *Server) reset() {
	s.incarnation = rand.Text()[:12]
	s.cache = newCache(s.config.CachePieces)
	s.streams = map[string]*generation{}
	s.life, s.kill = context.WithCancel(context.Background())
	s.silenced = make(chan struct{})
	s.slots = make(chan struct{}, s.config.Slots)
	s.running, s.queued = 0, 0
}

// Crash loses all state and connections and starts a new incarnation.
func (s *Server) Crash() {
	if s.OnCrash != nil {
		s.OnCrash()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kill()
	s.reset()
}

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(f Faults) {
	if f.Crash {
		s.Crash()
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	if f.Silence {
		close(s.silenced)
		s.silenced = make(chan struct{})
	}
}

func (s *Server) control(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !httpjson.Decode(w, r, &f) {
		return
	}
	s.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) generate(w http.ResponseWriter, r *http.Request) {
	var req httpengine.ChatRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&req); err != nil {
		s.refuse(w, r, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	g, status, code := s.start(r.Header, req)
	if g == nil {
		s.refuse(w, r, status, code, "refused")
		return
	}
	s.relay(w, r, g, 0)
}

// start checks the request against what the engine runs and begins to work on it.
func (s *Server) start(h http.Header, req httpengine.ChatRequest) (g *generation, status int, code string) {
	levels := make([]string, len(req.Messages))
	for i, m := range req.Messages {
		levels[i] = m.Content
	}
	weights, organisation := h.Get(httpengine.HeaderWeights), h.Get(httpengine.HeaderOrganisation)
	chain := prefix.New(prefix.Scope{Organisation: organisation, Weights: weights}, levels, s.config.PieceBytes)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked++
	switch want := h.Get(httpengine.HeaderIncarnation); {
	case want != "" && want != s.incarnation:
		return nil, http.StatusConflict, "incarnation"
	case !slices.Contains(s.weights, weights):
		return nil, http.StatusConflict, "weights"
	case s.faults.Leaving:
		return nil, http.StatusServiceUnavailable, "leaving"
	}
	hits := s.cache.admit(chain.Pieces)
	ctx, cancel := context.WithCancel(s.life)
	g = &generation{
		id: rand.Text()[:16], requestID: h.Get(httpengine.HeaderRequestID), organisation: organisation, weights: weights,
		promptTokens: chain.Bytes / BytesPerToken, cachedTokens: hits * s.config.PieceBytes / BytesPerToken,
		poison: strings.Contains(strings.Join(levels, ""), PoisonText), cancel: cancel, more: make(chan struct{}),
	}
	s.streams[g.id] = g
	s.started++
	s.runs[g.requestID]++
	missing := chain.Bytes - hits*s.config.PieceBytes
	answer := answerOf(organisation, levels)
	go s.work(ctx, g, missing, answer, req.MaxTokens)
	return g, 0, ""
}

// work computes the prompt and then the answer, token by token.
func (s *Server) work(ctx context.Context, g *generation, missing int, answer string, maxTokens int) {
	s.mu.Lock()
	slots := s.slots
	s.queued++
	s.mu.Unlock()
	select {
	case slots <- struct{}{}:
	case <-ctx.Done():
		return
	}
	s.count(ctx, -1, 1)
	defer func() {
		<-slots
		s.count(ctx, 0, -1)
	}()
	prefill := time.Duration(float64(missing) / float64(s.config.PrefillBytesPerSecond) * float64(time.Second))
	if !s.pause(ctx, prefill) {
		return
	}
	if g.poison {
		s.Crash()
		return
	}
	n := max(1, maxTokens)
	for i := range n {
		finish := ""
		if i == n-1 {
			finish = "stop"
		}
		if !s.pause(ctx, s.config.TokenInterval) {
			return
		}
		g.append(token{text: tokenText(answer, i), finish: finish})
	}
}

func (s *Server) count(ctx context.Context, queued, running int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.life.Err() == nil && ctx.Err() == nil || running < 0 {
		s.queued = max(0, s.queued+queued)
		s.running = max(0, s.running+running)
	}
}

// freezePoll is how often a frozen engine looks whether it may go on.
const freezePoll = 5 * time.Millisecond

// pause waits for d at the engine's present speed and reports false when the
// generation has ended.
func (s *Server) pause(ctx context.Context, d time.Duration) bool {
	s.mu.Lock()
	slowdown := max(1, s.faults.Slowdown)
	s.mu.Unlock()
	if !sleep(ctx, time.Duration(float64(d)*slowdown)) {
		return false
	}
	for s.frozen() {
		if !sleep(ctx, freezePoll) {
			return false
		}
	}
	return true
}

func (s *Server) frozen() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Freeze
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(max(d, time.Nanosecond))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// AnswerText returns the whole answer that every engine gives to a prompt, so
// that a test can tell whether a caller received its own.
func AnswerText(organisation string, levels []string, tokens int) string {
	answer := answerOf(organisation, levels)
	var b strings.Builder
	for i := range tokens {
		b.WriteString(tokenText(answer, i))
	}
	return b.String()
}

func answerOf(organisation string, levels []string) string {
	return fmt.Sprintf("%016x", prefix.NodeHash(organisation+"\x00"+strings.Join(levels, "\x00")))
}

func tokenText(answer string, i int) string { return answer + "-" + strconv.Itoa(i) + " " }
