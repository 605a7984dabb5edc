package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store: rows, conditional transactions and the
// long poll for changes.
type store struct {
	mu      sync.Mutex
	rows    map[string]row // by table, part and key
	history []row
	version uint64
	changed chan struct{}
	began   time.Time
	server  *http.Server
}

type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (r row) id() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

type storeAnswer struct {
	Rows    []row  `json:"rows,omitempty"`
	HasMore bool   `json:"hasMore"`
	Ver     uint64 `json:"ver"`
	NowMs   int64  `json:"nowMs"`
}

func newStore() *store {
	return &store{rows: map[string]row{}, changed: make(chan struct{}), began: time.Now()}
}

// serve answers calls on a listener until close is called.
func (s *store) serve(l net.Listener) {
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }()
}

// put writes a row as the operator or an engine does.
func (s *store) put(table, key string, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(row{Table: table, Key: key, Value: body, Ver: s.version})
	s.notify()
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(row{Table: table, Key: key, Ver: s.version, Deleted: true})
	s.notify()
}

func (s *store) write(r row) {
	if r.Deleted {
		delete(s.rows, r.id())
	} else {
		s.rows[r.id()] = r
	}
	s.history = append(s.history, r)
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) answer(rows []row) storeAnswer {
	return storeAnswer{Rows: rows, Ver: s.version, NowMs: 1000 + time.Since(s.began).Milliseconds()}
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/rows-get":
		s.get(w, r)
	case "/rows-feed":
		s.feed(w, r)
	case "/rows-tx":
		s.transact(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	var rows []row
	for _, x := range s.rows {
		if x.Table == q.Get("table") && x.Part == q.Get("part") && x.Key >= q.Get("from") && (q.Get("to") == "" || x.Key < q.Get("to")) {
			rows = append(rows, x)
		}
	}
	answer := s.answer(rows)
	s.mu.Unlock()
	slices.SortFunc(answer.Rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	if len(answer.Rows) > limit {
		answer.Rows, answer.HasMore = answer.Rows[:limit], true
	}
	time.Sleep(4 * time.Millisecond)
	writeJSON(w, http.StatusOK, answer)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	waitMs, _ := strconv.Atoi(q.Get("waitMs"))
	timer := time.NewTimer(time.Duration(max(1, waitMs)) * time.Millisecond)
	defer timer.Stop()
	for last := false; ; {
		s.mu.Lock()
		var rows []row
		for _, x := range s.history {
			if x.Table == q.Get("table") && x.Ver > after {
				rows = append(rows, x)
			}
		}
		answer, changed := s.answer(rows), s.changed
		s.mu.Unlock()
		if len(rows) > 0 || last {
			time.Sleep(4 * time.Millisecond)
			writeJSON(w, http.StatusOK, answer)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t struct {
		ExpectedRev []row `json:"expectedRev"`
		Puts        []row `json:"puts"`
		Deletes     []row `json:"deletes"`
	}
	body, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(body, &t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(5 * time.Millisecond)
	s.mu.Lock()
	var current []row
	conflict := false
	for _, c := range t.ExpectedRev {
		x, found := s.rows[c.id()]
		if found {
			current = append(current, x)
		}
		conflict = conflict || x.Ver != c.Ver
	}
	if conflict {
		answer := s.answer(current)
		s.mu.Unlock()
		writeJSON(w, http.StatusPreconditionFailed, answer)
		return
	}
	s.version++
	for _, x := range t.Puts {
		x.Ver = s.version
		s.write(x)
	}
	for _, x := range t.Deletes {
		x.Ver, x.Deleted = s.version, true
		s.write(x)
	}
	s.notify()
	answer := s.answer(nil)
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, answer)
}
