package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const heartbeat = 1200 * time.Millisecond

// engine is a stand-in for a model engine, or for an instance of a plain service if model is empty.
type engine struct {
	w       *world
	id      string
	service string
	model   string
	zone    string
	address string
	slots   int
	work    time.Duration // of a plain request, and before each event of a stream
	events  int
	server  *http.Server

	mu      sync.Mutex
	version int
	seq     int
	fence   float64
	busy    bool
	gone    bool
	active  int
	stop    chan struct{}
	born    int64
}

func (e *engine) start() error {
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.stop, e.born = make(chan struct{}), time.Now().UnixMilli()
	e.server = &http.Server{Handler: e}
	server, stop := e.server, e.stop
	e.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	go func() {
		for {
			e.beat()
			select {
			case <-time.After(heartbeat):
			case <-stop:
				return
			}
		}
	}()
	return nil
}

// beat writes the engine's entry.
func (e *engine) beat() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.gone {
		return
	}
	entry := map[string]any{"service": e.service, "addr": e.address, "zone": e.zone, "version": "v1", "slots": e.slots, "state": "ready", "coldLeftMs": 0, "seq": e.seq, "born": e.born}
	if e.model != "" {
		entry["stage"] = "unified"
		entry["models"] = []map[string]any{{"name": e.model, "version": e.version, "adapters": []string{}}}
	}
	e.w.store.put("servers", e.id, entry)
}

func (e *engine) load() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return fmt.Sprintf("%d,0,%d,100", e.active, e.slots)
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("X-Server-Load", e.load())
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != e.id {
		h.Set("X-Instance-Id", e.id)
		h.Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/report":
		e.report(w)
	case "/order":
		e.order(w, r)
	case "/kv-events":
		ms, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
		select {
		case <-time.After(time.Duration(max(1, ms)) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
		writeJSON(w, http.StatusOK, map[string]any{"epoch": 1, "next": 0, "lost": false, "events": []any{}})
	case "/healthz":
		h.Set("X-Instance-Id", e.id)
	default:
		e.request(w, r)
	}
}

func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"stage": "unified", "models": []map[string]any{{"name": e.model, "version": e.version, "adapters": []string{}}}, "busy": e.busy, "seq": e.seq, "queued": 0, "active": e.active, "kvUsed": 0, "kvTotal": 138640, "handles": 0})
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Op, Model, Mode, Holder string
		Version                 int
		Fence                   *float64
		ExpectedRev             *int
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Op != "version" || o.Holder == "" || o.Fence == nil || o.Model != e.model {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	status := http.StatusAccepted
	switch {
	case *o.Fence < e.fence:
		status = http.StatusPreconditionFailed
	case e.busy || o.ExpectedRev != nil && *o.ExpectedRev != e.seq:
		status = http.StatusConflict
	case e.version == o.Version:
		status = http.StatusOK
	default:
		e.seq++
		e.busy = true
		go func() {
			time.Sleep(900 * time.Millisecond)
			e.mu.Lock()
			e.version, e.busy = o.Version, false
			e.mu.Unlock()
		}()
	}
	e.fence = max(e.fence, *o.Fence)
	e.w.note("order", fmt.Sprintf("%s gets version %d from %s, fence %.0f: %d", e.id, o.Version, o.Holder, *o.Fence, status))
	w.WriteHeader(status)
}

func (e *engine) request(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	h, id := w.Header(), r.Header.Get("X-Request-Id")
	h.Set("X-Request-Id", id)
	e.mu.Lock()
	version, busy := e.version, e.busy
	e.mu.Unlock()
	if v := r.Header.Get("X-Expected-Version"); v != "" && v != strconv.Itoa(version) {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if busy {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.mu.Lock()
	e.active++
	e.mu.Unlock()
	run := e.w.begin(e, r, body)
	defer func() {
		e.mu.Lock()
		e.active--
		e.mu.Unlock()
		e.w.end(run)
	}()
	h.Set("X-Response-Stamp", "stamp-"+e.id+"-"+id)
	if e.model == "" {
		select {
		case <-time.After(e.work):
		case <-r.Context().Done():
			return
		}
		text := answerTo(id)
		h.Set("Content-Length", strconv.Itoa(len(text)))
		_, _ = io.WriteString(w, text)
		return
	}
	h.Set("X-Weight-Versions", strconv.Itoa(version))
	h.Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for i := after + 1; i <= e.events; i++ {
		select {
		case <-time.After(e.work):
		case <-r.Context().Done():
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: token %d of %s\n\n", i, i, id)
		_ = http.NewResponseController(w).Flush()
	}
}

func answerTo(id string) string { return "answer to " + id + "\n" }
