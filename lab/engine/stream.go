package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/verbenabend/verbenabend/internal/upstream"
	"github.com/verbenabend/verbenabend/internal/upstream/httpengine"
	"github.com/verbenabend/verbenabend/lab/httpjson"
)

// resume handles GET /v1/streams/{id}?from=N.
func (s *Server) resume(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil || from < 0 {
		s.refuse(w, r, http.StatusBadRequest, "bad_request", "from must be a number")
		return
	}
	g := s.findStream(r)
	if g == nil {
		s.refuse(w, r, http.StatusGone, string(upstream.RefusedStreamGone), "this incarnation has no such stream")
		return
	}
	s.relay(w, r, g, from)
}

func (s *Server) cancelStream(w http.ResponseWriter, r *http.Request) {
	g := s.findStream(r)
	if g != nil && r.Header.Get(httpengine.HeaderUnread) != "" && g.hasReaders() {
		s.refuse(w, r, http.StatusConflict, string(upstream.RefusedInUse), "a connection is reading the stream")
		return
	}
	if g != nil {
		g.cancel()
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) findStream(r *http.Request) *generation {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Header.Get(httpengine.HeaderIncarnation) != s.incarnation {
		return nil
	}
	return s.streams[r.PathValue("id")]
}

// relay writes the events of a generation from the given index on.
func (s *Server) relay(w http.ResponseWriter, r *http.Request, g *generation, from int) {
	s.mu.Lock()
	incarnationCtx, streamsStalled, incarnation := s.incarnationCtx, s.streamsStalled, s.incarnation
	s.mu.Unlock()
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set(httpengine.HeaderIncarnation, incarnation)
	h.Set(httpengine.HeaderStreamID, g.id)
	h.Set(httpengine.HeaderOrganisation, g.organisation)
	h.Set(httpengine.HeaderWeights, g.weights)
	h.Set(httpengine.HeaderRequestID, g.requestID)
	defer g.addReader()()
	w.WriteHeader(http.StatusOK)
	out := http.NewResponseController(w)
	_ = out.Flush()
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(incarnationCtx, cancel)()
	var line bytes.Buffer
	for i := from; ; i++ {
		t, ok := g.waitToken(ctx, i)
		if incarnationCtx.Err() != nil {
			panic(http.ErrAbortHandler) // drop the connection, as in a crash
		}
		if !ok {
			return
		}
		select {
		case <-streamsStalled: // keep the connection open without further data
			<-ctx.Done()
			return
		default:
		}
		line.Reset()
		writeEvent(&line, g, i, t)
		if _, err := w.Write(line.Bytes()); err != nil || out.Flush() != nil || t.finish != "" {
			return
		}
	}
}

func writeEvent(b *bytes.Buffer, g *generation, index int, t token) {
	choice := httpengine.Choice{Delta: httpengine.Delta{Content: t.text}}
	chunk := httpengine.Chunk{}
	if t.finish != "" {
		choice.FinishReason = &t.finish
	}
	if t.finish != "" || index == 0 {
		chunk.Usage = &httpengine.Usage{
			PromptTokens: g.promptTokens, CompletionTokens: index + 1,
			Details: httpengine.PromptDetails{CachedTokens: g.cachedTokens},
		}
	}
	chunk.Choices = []httpengine.Choice{choice}
	data, err := json.Marshal(chunk)
	if err != nil {
		panic(err) // a chunk is always encodable
	}
	b.WriteString("id: " + strconv.Itoa(index) + "\ndata: ")
	b.Write(data)
	b.WriteString("\n\n")
	if t.finish != "" {
		b.WriteString("data: [DONE]\n\n")
	}
}

func (s *Server) state(w http.ResponseWriter, r *http.Request) {
	for s.frozen() {
		if !sleep(r.Context(), freezePoll) {
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	httpjson.Reply(w, http.StatusOK, httpengine.State{
		Incarnation: s.incarnation, Weights: slices.Clone(s.weights), Role: s.role, Leaving: s.faults.Leaving, Loading: s.loading,
		Slots: s.config.Slots, Running: s.running, Queued: s.queued, CacheEventSequence: s.cache.sequence, Fence: s.fencingToken,
	})
}

func (s *Server) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		s.refuse(w, r, http.StatusBadRequest, "bad_request", "after must be a number")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	out := httpengine.CacheEvents{}
	for _, e := range s.cache.eventsAfter(after) {
		out.Events = append(out.Events, httpengine.CacheEvent{Sequence: e.sequence, Block: e.block, Evicted: e.evicted})
	}
	httpjson.Reply(w, http.StatusOK, out)
}

// order handles POST /orders. Only loading takes time.
func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	var o upstream.Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&o); err != nil {
		s.refuse(w, r, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	s.mu.Lock()
	if !s.config.IgnoreFence && o.Fence < s.fencingToken {
		s.mu.Unlock()
		s.refuse(w, r, http.StatusConflict, string(upstream.RefusedFence), "an order with a greater fencing token was seen")
		return
	}
	s.fencingToken = max(s.fencingToken, o.Fence)
	incarnationCtx := s.incarnationCtx
	switch o.Kind {
	case upstream.OrderRole:
		s.role = o.Role
	case upstream.OrderUnload:
		s.weights = slices.DeleteFunc(s.weights, func(x string) bool { return x == o.Weights })
	case upstream.OrderLoad:
		s.loading = true
		time.AfterFunc(max(s.config.LoadTime, time.Nanosecond), func() { s.finishLoad(incarnationCtx, o.Weights) })
	}
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) finishLoad(incarnationCtx context.Context, weights string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loading = false
	if incarnationCtx.Err() == nil && !slices.Contains(s.weights, weights) {
		s.weights = append(s.weights, weights)
	}
}

// refuse answers with a refusal that names the request or stream it refuses.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, status int, code, message string) {
	s.mu.Lock()
	incarnation, weights := s.incarnation, slices.Clone(s.weights)
	s.mu.Unlock()
	w.Header().Set(httpengine.HeaderRequestID, r.Header.Get(httpengine.HeaderRequestID))
	w.Header().Set(httpengine.HeaderStreamID, r.PathValue("id"))
	httpjson.Reply(w, status, httpengine.Refusal{Code: code, Message: message, Incarnation: incarnation, Weights: weights})
}
