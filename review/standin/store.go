package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the platform's store, as on the wire.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowID struct{ table, part, key string }

// store is a stand-in for the platform's metadata store.
type store struct {
	mu      sync.Mutex
	rows    map[rowID]row
	history []row
	ver     uint64
	changed chan struct{}
	started time.Time
}

func newStore() *store {
	return &store{rows: map[rowID]row{}, changed: make(chan struct{}), started: time.Now()}
}

func (s *store) nowMs() int64 { return 1000 + time.Since(s.started).Milliseconds() }

// put writes a row as the operator or an engine does. Its return is the acknowledgement.
func (s *store) put(table, key string, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write([]row{{Table: table, Key: key, Value: body}})
}

// write applies one transaction. s.mu must be held.
func (s *store) write(rows []row) {
	s.ver++
	for _, r := range rows {
		r.Ver = s.ver
		id := rowID{r.Table, r.Part, r.Key}
		if r.Deleted {
			delete(s.rows, id)
		} else {
			s.rows[id] = r
		}
		s.history = append(s.history, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	mux.HandleFunc("POST /rows-tx", s.transact)
	return mux
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []row{}
	for id, x := range s.rows {
		if id.table == q.Get("table") && id.part == q.Get("part") && id.key >= q.Get("from") && (q.Get("to") == "" || id.key < q.Get("to")) {
			list = append(list, x)
		}
	}
	slices.SortFunc(list, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	more := len(list) > limit
	respond(w, 200, map[string]any{"rows": list[:min(limit, len(list))], "hasMore": more, "ver": s.ver, "nowMs": s.nowMs()})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	for timedOut := false; ; {
		s.mu.Lock()
		list, ver, changed := []row{}, s.ver, s.changed
		for _, x := range s.history {
			if x.Table == q.Get("table") && x.Ver > after {
				list = append(list, x)
			}
		}
		s.mu.Unlock()
		if len(list) > 0 || timedOut {
			respond(w, 200, map[string]any{"rows": list, "ver": ver, "nowMs": s.nowMs()})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t struct {
		ExpectedRev, Puts, Deletes []row
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(400)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range slices.Concat(t.Puts, t.Deletes) {
		if x.Table == "op" || x.Table == "servers" {
			w.WriteHeader(403)
			return
		}
	}
	for _, c := range t.ExpectedRev {
		if now := s.rows[rowID{c.Table, c.Part, c.Key}]; now.Ver != c.Ver {
			respond(w, 412, map[string]any{"rows": []row{now}, "ver": s.ver, "nowMs": s.nowMs()})
			return
		}
	}
	for i := range t.Deletes {
		t.Deletes[i].Deleted = true
	}
	s.write(slices.Concat(t.Puts, t.Deletes))
	respond(w, 200, map[string]any{"ver": s.ver, "nowMs": s.nowMs()})
}
