package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// storeTime is how long a call takes, as on the installation's sheet.
const storeTime = 4 * time.Millisecond

type rowKey struct{ table, part, key string }

type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowsAnswer struct {
	Rows    []row  `json:"rows"`
	HasMore bool   `json:"hasMore"`
	Ver     uint64 `json:"ver"`
	NowMs   int64  `json:"nowMs"`
}

// store stands in for the platform's metadata store.
type store struct {
	mu      sync.Mutex
	rows    map[rowKey]row
	history []row
	ver     uint64
	changed chan struct{}
	started time.Time
	server  *http.Server
	addr    string
}

func newStore(ip string) (*store, error) {
	s := &store{rows: map[rowKey]row{}, changed: make(chan struct{}), started: time.Now().Add(-time.Minute)}
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s.addr = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	mux.HandleFunc("POST /rows-tx", s.transact)
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeTime)
		mux.ServeHTTP(w, r)
	})}
	go s.server.Serve(l)
	return s, nil
}

// put writes a row with the rights of the operator and the engines. Its return is the acknowledgement.
func (s *store) put(table, key string, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.write(row{Table: table, Key: key, Value: body, Ver: s.ver})
	s.notify()
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.write(row{Table: table, Key: key, Ver: s.ver, Deleted: true})
	s.notify()
}

// keys returns the keys of a table.
func (s *store) keys(table string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for k := range s.rows {
		if k.table == table {
			out = append(out, k.key)
		}
	}
	sort.Strings(out)
	return out
}

func (s *store) write(r row) {
	k := rowKey{r.Table, r.Part, r.Key}
	if r.Deleted {
		delete(s.rows, k)
	} else {
		s.rows[k] = r
	}
	s.history = append(s.history, r)
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) nowMs() int64 { return time.Since(s.started).Milliseconds() }

func answer(w http.ResponseWriter, status int, a rowsAnswer) {
	if a.Rows == nil {
		a.Rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(a)
}

const maxPage = 500

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > maxPage {
		limit = maxPage
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	a := rowsAnswer{Ver: s.ver, NowMs: s.nowMs()}
	for k, x := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") && (q.Get("to") == "" || k.key < q.Get("to")) {
			a.Rows = append(a.Rows, x)
		}
	}
	sort.Slice(a.Rows, func(i, j int) bool { return a.Rows[i].Key < a.Rows[j].Key })
	if len(a.Rows) > limit {
		a.Rows, a.HasMore = a.Rows[:limit], true
	}
	answer(w, http.StatusOK, a)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait)*time.Millisecond + time.Nanosecond)
	defer timer.Stop()
	for ended := false; ; {
		s.mu.Lock()
		a := rowsAnswer{Ver: s.ver, NowMs: s.nowMs()}
		for _, x := range s.history {
			if x.Table == q.Get("table") && x.Ver > after {
				a.Rows = append(a.Rows, x)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(a.Rows) > 0 || ended {
			answer(w, http.StatusOK, a)
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

type transaction struct {
	ExpectedRev []row `json:"expectedRev"`
	Puts        []row `json:"puts"`
	Deletes     []row `json:"deletes"`
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range append(append([]row{}, t.Puts...), t.Deletes...) {
		if x.Table == "op" || x.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	for _, c := range t.ExpectedRev {
		if s.rows[rowKey{c.Table, c.Part, c.Key}].Ver == c.Ver {
			continue
		}
		a := rowsAnswer{Ver: s.ver, NowMs: s.nowMs()}
		for _, c := range t.ExpectedRev {
			if x, ok := s.rows[rowKey{c.Table, c.Part, c.Key}]; ok {
				a.Rows = append(a.Rows, x)
			}
		}
		answer(w, http.StatusPreconditionFailed, a)
		return
	}
	s.ver++
	for _, x := range t.Puts {
		x.Ver = s.ver
		s.write(x)
	}
	for _, x := range t.Deletes {
		x.Ver, x.Deleted = s.ver, true
		s.write(x)
	}
	s.notify()
	answer(w, http.StatusOK, rowsAnswer{Ver: s.ver, NowMs: s.nowMs()})
}
