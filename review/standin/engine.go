package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// cachedPart is a part of a prompt that an engine keeps, and who made it.
type cachedPart struct {
	tokens int
	tenant string
	by     string // the request
}

// reuse is the use of a part that another request made.
type reuse struct {
	at                        time.Time
	engine, request, tenant   string
	salt, part, madeBy, maker string
}

// run is a request that an engine began to work on.
type run struct {
	id, tenant string
	at         time.Time
	finished   bool
}

// engine is a stand-in for a model engine, or for a plain service where model is empty.
type engine struct {
	id, service, model, addr, zone string
	slots                          int
	born                           int64
	// work is how long a request runs, pieces how many events a stream has.
	work   time.Duration
	pieces int
	peers  func(addr string) *engine

	mu     sync.Mutex
	seq    int
	cache  map[string]map[string]cachedPart // by salt and part
	events [][]any
	reuses []reuse
	runs   map[string]*run
	server *http.Server

	// faulty is set while the engine garbles some answers, garbled counts them.
	faulty  atomic.Bool
	garbled atomic.Int64
}

func (e *engine) start() {
	e.cache, e.runs, e.born = map[string]map[string]cachedPart{}, map[string]*run{}, time.Now().UnixMilli()
	l, err := net.Listen("tcp", e.addr)
	if err != nil {
		fail("listen: %v", err)
	}
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(l) }()
}

// register writes the engine's row about every heartbeat.
func (e *engine) register(s *store) {
	for {
		e.mu.Lock()
		e.seq++
		value := map[string]any{
			"service": e.service, "addr": e.addr, "zone": e.zone, "version": "v1", "slots": e.slots, "state": "ready",
			"coldLeftMs": 0, "seq": e.seq, "born": e.born, "stage": "unified",
		}
		if e.model != "" {
			value["models"] = []any{map[string]any{"name": e.model, "version": 1, "adapters": []any{}}}
		}
		e.mu.Unlock()
		s.put("servers", e.id, value)
		time.Sleep(1200 * time.Millisecond)
	}
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if t := r.Header.Get("X-Target-Instance"); t != "" && t != e.id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(421)
		return
	}
	switch {
	case r.URL.Path == "/healthz":
		w.Header().Set("X-Instance-Id", e.id)
	case r.URL.Path == "/report":
		respond(w, 200, map[string]any{"stage": "unified", "models": []any{map[string]any{"name": e.model, "version": 1}}, "busy": false, "seq": 0, "queued": 0, "active": 0, "kvUsed": 0, "kvTotal": 138640, "handles": 0})
	case r.URL.Path == "/kv-events":
		e.kvEvents(w, r)
	default:
		e.request(w, r)
	}
}

func (e *engine) kvEvents(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.Atoi(r.URL.Query().Get("since"))
	wait, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
	for end := time.Now().Add(time.Duration(min(wait, 1000)) * time.Millisecond); ; {
		e.mu.Lock()
		list, next := append([][]any{}, e.events[min(since, len(e.events)):]...), len(e.events)
		e.mu.Unlock()
		if len(list) > 0 || time.Now().After(end) {
			respond(w, 200, map[string]any{"epoch": e.born, "next": next, "lost": false, "events": list})
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// request runs a requester's request.
func (e *engine) request(w http.ResponseWriter, r *http.Request) {
	id, tenant := r.Header.Get("X-Request-Id"), r.Header.Get("X-Tenant")
	if id == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(400)
		return
	}
	body, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	e.mu.Lock()
	x := &run{id: id, tenant: tenant, at: time.Now()}
	e.runs[id] = x
	if e.model != "" {
		e.prefill(r, id, tenant)
	}
	e.mu.Unlock()
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Response-Stamp", "stamp."+id)
	if e.pieces == 0 {
		time.Sleep(e.work)
		if e.garble(w, id) {
			return
		}
		text := fmt.Sprintf("done %s, %d bytes\n", id, body)
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		_, _ = io.WriteString(w, text)
	} else {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("X-Weight-Versions", "1")
		for i := 1; i <= e.pieces; i++ {
			time.Sleep(e.work / time.Duration(e.pieces))
			if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i); err != nil {
				return
			}
			w.(http.Flusher).Flush()
		}
	}
	e.mu.Lock()
	x.finished = true
	e.mu.Unlock()
}

// prefill reads the parts of a prompt that are not cached under its salt. e.mu must be held.
func (e *engine) prefill(r *http.Request, id, tenant string) {
	salt := r.Header.Get("X-Cache-Salt")
	own := e.cache[salt]
	if own == nil {
		own = map[string]cachedPart{}
		e.cache[salt] = own
	}
	var fetched map[string]cachedPart
	if from := e.peers(r.Header.Get("X-Kv-Fetch")); from != nil && from != e {
		fetched = from.kept(salt)
	}
	for _, text := range strings.Split(r.Header.Get("X-Prompt-Prefix"), ",") {
		part, n, _ := strings.Cut(strings.TrimSpace(text), ":")
		tokens, _ := strconv.Atoi(n)
		c, ok := own[part]
		if !ok {
			if c, ok = fetched[part]; ok {
				own[part] = c
			}
		}
		if ok {
			e.reuses = append(e.reuses, reuse{at: time.Now(), engine: e.id, request: id, tenant: tenant, salt: salt, part: part, madeBy: c.by, maker: c.tenant})
			continue
		}
		own[part] = cachedPart{tokens: tokens, tenant: tenant, by: id}
		e.events = append(e.events, []any{len(e.events) + 1, "+", salt, part, tokens, e.model})
	}
}

func (e *engine) kept(salt string) map[string]cachedPart {
	if !e.mu.TryLock() { // another request is being read there: nothing is fetched
		return nil
	}
	defer e.mu.Unlock()
	out := map[string]cachedPart{}
	for k, v := range e.cache[salt] {
		out[k] = v
	}
	return out
}
