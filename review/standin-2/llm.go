package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	llmService = "lamp"
	model      = "daka510000"
	llmSlots   = 4
	llmQueue   = 12
	// tokenTime is the time between two tokens of a stream, outTokens their number.
	tokenTime = 100 * time.Millisecond
	outTokens = 30
	// promptTokensPerMs is how fast an engine reads a prompt, as on the installation's sheet.
	promptTokensPerMs = 48.2
)

// cached is a part of a prompt in an engine's cache.
type cached struct {
	tokens int
	maker  string // the tenant whose request made it
}

// use is that of a cached part by a request which an engine began to run.
type use struct {
	at                                         time.Time
	engine, request, tenant, maker, part, salt string
}

// llmEngine stands in for a model engine. It has one version of its weights.
type llmEngine struct {
	world *world
	id    string
	addr  string
	epoch int64

	mu       sync.Mutex
	free     chan struct{}
	waiting  int
	running  int
	cache    map[[2]string]cached // by salt and ID
	events   [][]any
	changed  chan struct{}
	uses     []use
	firstRun map[string]time.Time
}

func (w *world) newLLMEngine(id, ip string) *llmEngine {
	e := &llmEngine{world: w, id: id, epoch: time.Now().UnixMilli(), free: make(chan struct{}, llmSlots), cache: map[[2]string]cached{}, changed: make(chan struct{}), firstRun: map[string]time.Time{}}
	l, err := net.Listen("tcp", ip+":0")
	w.require(err == nil, "%v", err)
	e.addr = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(rw http.ResponseWriter, _ *http.Request) { rw.Header().Set("X-Instance-Id", id) })
	mux.HandleFunc("GET /report", e.report)
	mux.HandleFunc("GET /kv-events", e.kvEvents)
	mux.HandleFunc("GET /kv-list", e.kvList)
	mux.HandleFunc("POST /order", func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusBadRequest) })
	mux.HandleFunc("/", e.serve)
	go (&http.Server{Handler: mux}).Serve(l)
	go func() {
		for seq, born := 1, time.Now().UnixMilli(); ; seq++ {
			w.store.put("servers", id, map[string]any{"service": llmService, "addr": e.addr, "zone": zone, "version": "v1", "slots": llmSlots, "state": "ready", "coldLeftMs": 0, "stage": "unified",
				"models": []map[string]any{{"name": model, "version": 1, "adapters": []string{}}}, "seq": seq, "born": born})
			time.Sleep(heartbeat)
		}
	}()
	return e
}

func (e *llmEngine) report(rw http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	json.NewEncoder(rw).Encode(map[string]any{"stage": "unified", "models": []map[string]any{{"name": model, "version": 1, "adapters": []string{}}}, "busy": false, "seq": 0, "queued": e.waiting, "active": e.running, "kvUsed": 0, "kvTotal": 138640, "handles": 0})
}

func (e *llmEngine) kvEvents(rw http.ResponseWriter, r *http.Request) {
	since, _ := strconv.Atoi(r.URL.Query().Get("since"))
	wait, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
	timer := time.NewTimer(time.Duration(min(wait, 1000))*time.Millisecond + time.Nanosecond)
	defer timer.Stop()
	for ended := false; ; {
		e.mu.Lock()
		events, changed := e.events[min(since, len(e.events)):], e.changed
		next := len(e.events)
		e.mu.Unlock()
		if len(events) > 0 || ended {
			if events == nil {
				events = [][]any{}
			}
			rw.Header().Set("Content-Type", "application/json")
			json.NewEncoder(rw).Encode(map[string]any{"epoch": e.epoch, "next": next, "lost": false, "events": events})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

func (e *llmEngine) kvList(rw http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	held := [][]any{}
	for k, c := range e.cache {
		held = append(held, []any{k[0], k[1], c.tokens, model})
	}
	json.NewEncoder(rw).Encode(map[string]any{"epoch": e.epoch, "next": len(e.events), "held": held})
}

// serve waits for a slot, reads the prompt as far as it isn't cached, and streams its tokens.
func (e *llmEngine) serve(rw http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	io.Copy(io.Discard, r.Body)
	id, salt, tenant := r.Header.Get("X-Request-Id"), r.Header.Get("X-Cache-Salt"), r.Header.Get("X-Tenant")
	rw.Header().Set("X-Request-Id", id)
	notRun := func(status int) {
		rw.Header().Set("X-Not-Executed", "1")
		rw.WriteHeader(status)
		e.world.note("engine %s rejects %s with %d, not run", e.id, id, status)
	}
	version := r.Header.Get("X-Expected-Version")
	switch {
	case r.Header.Get("X-Target-Instance") != "" && r.Header.Get("X-Target-Instance") != e.id, version != "" && version != "1":
		notRun(http.StatusMisdirectedRequest)
		return
	case id == "":
		notRun(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	if e.waiting >= llmQueue {
		e.mu.Unlock()
		notRun(http.StatusServiceUnavailable)
		return
	}
	e.waiting++
	e.mu.Unlock()
	e.world.note("engine %s gets %s of %s, salt %s", e.id, id, tenant, salt)
	deadline := 30 * time.Second
	if ms, err := strconv.ParseFloat(r.Header.Get("X-Deadline-Ms"), 64); err == nil {
		deadline = time.Duration(ms * float64(time.Millisecond))
	}
	late := time.NewTimer(deadline)
	defer late.Stop()
	got := false
	select {
	case e.free <- struct{}{}:
		got = true
	case <-late.C:
	case <-r.Context().Done():
	}
	e.mu.Lock()
	e.waiting--
	if got {
		e.running++
	}
	e.mu.Unlock()
	if !got {
		if r.Context().Err() == nil {
			notRun(http.StatusServiceUnavailable)
		}
		return
	}
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
		<-e.free
	}()
	e.world.note("engine %s begins %s of %s after %s in its queue", e.id, id, tenant, time.Since(arrived).Round(time.Millisecond))
	missing := e.readPrompt(id, salt, tenant, r.Header.Get("X-Prompt-Prefix"), r.Header.Get("X-Kv-Fetch"))
	time.Sleep(time.Duration(float64(missing) / promptTokensPerMs * float64(time.Millisecond)))
	rw.Header().Set("Content-Type", "text/event-stream")
	rw.Header().Set("X-Response-Stamp", e.id+"."+id)
	rw.Header().Set("X-Weight-Versions", "1")
	e.mu.Lock()
	rw.Header().Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", e.running, e.waiting, llmSlots))
	e.mu.Unlock()
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := first + 1; n <= outTokens; n++ {
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: token %d of %s\n\n", n, n, id); err != nil || http.NewResponseController(rw).Flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(tokenTime):
		}
	}
}

// readPrompt uses the cached parts and makes the others. It returns how many tokens were read.
func (e *llmEngine) readPrompt(id, salt, tenant, prompt, from string) (missing int) {
	parts := strings.Split(prompt, ",")
	for _, text := range parts {
		part, count, _ := strings.Cut(text, ":")
		tokens, _ := strconv.Atoi(count)
		k := [2]string{salt, part}
		e.mu.Lock()
		c, ok := e.cache[k]
		e.mu.Unlock()
		if !ok && from != "" {
			if other := e.world.llmAt(from); other != nil {
				other.mu.Lock()
				c, ok = other.cache[k]
				other.mu.Unlock()
			}
		}
		e.mu.Lock()
		if ok {
			e.uses = append(e.uses, use{time.Now(), e.id, id, tenant, c.maker, part, salt})
		} else {
			c = cached{tokens, tenant}
			missing += tokens
		}
		if _, kept := e.cache[k]; !kept {
			e.cache[k] = c
			e.events = append(e.events, []any{len(e.events) + 1, "+", salt, part, tokens, model})
			close(e.changed)
			e.changed = make(chan struct{})
		}
		e.mu.Unlock()
		if ok {
			e.world.note("engine %s uses part %s, made by %s under salt %s, for %s of %s", e.id, part, c.maker, salt, id, tenant)
		} else {
			e.world.note("engine %s makes part %s under salt %s for %s of %s", e.id, part, salt, id, tenant)
		}
	}
	return missing
}

func (w *world) llmAt(addr string) *llmEngine {
	for _, e := range w.llms {
		if e.addr == addr {
			return e
		}
	}
	return nil
}
