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
	// CacheBlocks is the size of the prefix cache in blocks; default 4000.
	CacheBlocks int
	// BlockBytes is the size of a block; default 4000 bytes.
	BlockBytes int
	// PrefillBytesPerSecond is the prefill speed; default 4 MB/s.
	PrefillBytesPerSecond int
	// TokenInterval is the time between tokens; default 2 ms.
	TokenInterval time.Duration
	// LoadTime is how long loading weights takes; default 1 s.
	LoadTime time.Duration
	// IgnoreFence accepts orders with any fencing token.
	IgnoreFence bool
}

// Faults is the body of POST /control.
type Faults struct {
	// Crash drops every connection and restarts the engine with an empty cache.
	Crash bool `json:"crash"`
	// Freeze stops all progress, while connections stay open.
	Freeze bool `json:"freeze"`
	// Silence stalls the streams that are open now; new connections work.
	Silence bool `json:"silence"`
	// Slowdown multiplies all times; 0 or 1 is normal.
	Slowdown float64 `json:"slowdown"`
	// Leaving makes the engine report that it is leaving and refuse generations.
	Leaving bool `json:"leaving"`
}

// BytesPerToken is the number of prompt bytes that count as one token.
const BytesPerToken = 4

// CrashTrigger crashes the engine after the prefill of a prompt that contains it.
const CrashTrigger = "[[crash the engine]]"

const maxBodyBytes = 64 << 20

// Server implements the engine's HTTP interface.
type Server struct {
	config Config
	mux    *http.ServeMux
	// OnCrash is called when the engine crashes, before it restarts; it may exit
	// the process. May be nil.
	OnCrash func()

	mu                 sync.Mutex
	incarnation        string
	cache              *cache
	streams            map[string]*generation
	weights            []string
	role               string
	loading            bool
	fencingToken       uint64
	running            int
	queued             int
	generationsStarted uint64
	requestsReceived   uint64
	runs               map[string]int
	faults             Faults
	incarnationCtx     context.Context // canceled by a crash
	cancelIncarnation  context.CancelFunc
	streamsStalled     chan struct{} // closed to stall the open streams
	slots              chan struct{}
}

// New returns an engine with its weights loaded.
func New(c Config) *Server {
	c.Slots = cmp.Or(c.Slots, 8)
	c.CacheBlocks = cmp.Or(c.CacheBlocks, 4000)
	c.BlockBytes = cmp.Or(c.BlockBytes, 4000)
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

// SetLeaving makes the engine report that it is leaving, with no other fault.
func (s *Server) SetLeaving() { s.SetFaults(Faults{Leaving: true}) }

// RequestsReceived returns the number of generation requests, refused ones included.
func (s *Server) RequestsReceived() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requestsReceived
}

// AnswerPrefix returns the prefix of every word of the answer to a prompt.
func AnswerPrefix(organisation string, levels []string) string {
	return fmt.Sprintf("%016x", prefix.NodeHash(organisation+"\x00"+strings.Join(levels, "\x00")))
}

// Runs returns how often each request was started, by request ID.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}

// GenerationsStarted returns the number of generations started in all incarnations.
func (s *Server) GenerationsStarted() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.generationsStarted
}

func (s *Server) reset() {
	s.incarnation = rand.Text()[:12]
	s.cache = newCache(s.config.CacheBlocks)
	s.streams = map[string]*generation{}
	s.incarnationCtx, s.cancelIncarnation = context.WithCancel(context.Background())
	s.streamsStalled = make(chan struct{})
	s.slots = make(chan struct{}, s.config.Slots)
	s.running, s.queued = 0, 0
}

// Crash drops all connections and loses the cache and the streams, and starts a new
// incarnation.
func (s *Server) Crash() {
	if s.OnCrash != nil {
		s.OnCrash()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelIncarnation()
	s.reset()
}

// SetFaults replaces the active faults.
func (s *Server) SetFaults(f Faults) {
	if f.Crash {
		s.Crash()
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	if f.Silence {
		close(s.streamsStalled)
		s.streamsStalled = make(chan struct{})
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
	g, status, code := s.startGeneration(r.Header, req)
	if g == nil {
		s.refuse(w, r, status, code, "refused")
		return
	}
	s.relay(w, r, g, 0)
}

// startGeneration starts a generation if the engine is of the expected incarnation,
// has the weights and is not leaving. Otherwise it returns the status and code of
// the refusal.
func (s *Server) startGeneration(h http.Header, req httpengine.ChatRequest) (g *generation, status int, code string) {
	levels := make([]string, len(req.Messages))
	for i, m := range req.Messages {
		levels[i] = m.Content
	}
	weights, organisation := h.Get(httpengine.HeaderWeights), h.Get(httpengine.HeaderOrganisation)
	chain := prefix.New(prefix.Scope{Organisation: organisation, Weights: weights}, levels, s.config.BlockBytes)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requestsReceived++
	switch want := h.Get(httpengine.HeaderIncarnation); {
	case want != "" && want != s.incarnation:
		return nil, http.StatusConflict, "incarnation"
	case !slices.Contains(s.weights, weights):
		return nil, http.StatusConflict, "weights"
	case s.faults.Leaving:
		return nil, http.StatusServiceUnavailable, "leaving"
	}
	hits := s.cache.admit(chain.Blocks)
	ctx, cancel := context.WithCancel(s.incarnationCtx)
	g = &generation{
		id: rand.Text()[:16], requestID: h.Get(httpengine.HeaderRequestID), organisation: organisation, weights: weights,
		promptTokens: chain.Bytes / BytesPerToken, cachedTokens: hits * s.config.BlockBytes / BytesPerToken,
		crashesEngine: strings.Contains(strings.Join(levels, ""), CrashTrigger), cancel: cancel, updated: make(chan struct{}),
	}
	s.streams[g.id] = g
	s.generationsStarted++
	s.runs[g.requestID]++
	missingBytes := chain.Bytes - hits*s.config.BlockBytes
	answer := answerPrefix(organisation, levels)
	go s.runGeneration(ctx, g, missingBytes, answer, req.MaxTokens)
	return g, 0, ""
}

// runGeneration waits for a slot, simulates the prefill and then emits the answer
// token by token.
func (s *Server) runGeneration(ctx context.Context, g *generation, missingBytes int, answer string, maxTokens int) {
	s.mu.Lock()
	slots := s.slots
	s.queued++
	s.mu.Unlock()
	select {
	case slots <- struct{}{}:
	case <-ctx.Done():
		return
	}
	s.adjustCounts(ctx, -1, 1)
	defer func() {
		<-slots
		s.adjustCounts(ctx, 0, -1)
	}()
	prefill := time.Duration(float64(missingBytes) / float64(s.config.PrefillBytesPerSecond) * float64(time.Second))
	if !s.sleepScaled(ctx, prefill) {
		return
	}
	if g.crashesEngine {
		s.Crash()
		return
	}
	n := max(1, maxTokens)
	for i := range n {
		finish := ""
		if i == n-1 {
			finish = "stop"
		}
		if !s.sleepScaled(ctx, s.config.TokenInterval) {
			return
		}
		g.append(token{text: tokenText(answer, i), finish: finish})
	}
}

func (s *Server) adjustCounts(ctx context.Context, queued, running int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.incarnationCtx.Err() == nil && ctx.Err() == nil || running < 0 {
		s.queued = max(0, s.queued+queued)
		s.running = max(0, s.running+running)
	}
}

// freezePoll is how often a frozen engine checks whether the fault has ended.
const freezePoll = 5 * time.Millisecond

// sleepScaled sleeps for d times the current slowdown and while the engine is
// frozen. It returns false if ctx ends first.
func (s *Server) sleepScaled(ctx context.Context, d time.Duration) bool {
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

// AnswerText returns the complete answer that every engine gives to a prompt, so
// that tests can check that a caller received the answer to its own prompt.
func AnswerText(organisation string, levels []string, tokens int) string {
	answer := answerPrefix(organisation, levels)
	var b strings.Builder
	for i := range tokens {
		b.WriteString(tokenText(answer, i))
	}
	return b.String()
}

func answerPrefix(organisation string, levels []string) string {
	return fmt.Sprintf("%016x", prefix.NodeHash(organisation+"\x00"+strings.Join(levels, "\x00")))
}

func tokenText(answer string, i int) string { return answer + "-" + strconv.Itoa(i) + " " }
