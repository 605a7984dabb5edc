// Package site holds stand-ins for the users' platform: its metadata store and
// the upstreams that register there. They are written from the platform's
// published protocol.
package site

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault is how the store treats calls through one door.
type Fault struct {
	// Status, if not 0, is the answer to every call; nothing is done.
	Status int
	// Silent calls get no answer; nothing is done.
	Silent bool
	// LoseAnswers breaks the connection of a write that was done.
	LoseAnswers bool
}

type rowKey struct{ table, part, key string }

type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Store is a stand-in for the platform's metadata store.
type Store struct {
	mu      sync.Mutex
	rows    map[rowKey]storeRow
	ver     uint64
	history []storeRow
	// forgotten is the version up to which the history was dropped.
	forgotten uint64
	changed   chan struct{}
	doors     map[string]Fault
	calls     map[string]int
}

// NewStore returns an empty Store.
func NewStore() *Store {
	return &Store{rows: map[rowKey]storeRow{}, changed: make(chan struct{}), doors: map[string]Fault{}, calls: map[string]int{}}
}

// Put writes a row as operators and upstreams do.
func (s *Store) Put(table, key string, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		panic(err) // rows of tests can be encoded
	}
	s.PutBytes(table, key, body)
}

// PutBytes writes a row of any content.
func (s *Store) PutBytes(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.write(storeRow{Table: table, Key: key, Value: value, Ver: s.ver})
	s.tell()
}

// Drop removes a row.
func (s *Store) Drop(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.write(storeRow{Table: table, Key: key, Ver: s.ver, Deleted: true})
	s.tell()
}

// Forget drops the history of changes.
func (s *Store) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.forgotten = nil, s.ver
	s.tell()
}

// SetFault changes how calls through a door are treated.
func (s *Store) SetFault(door string, f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.doors[door] = f
}

// Calls returns how many calls came through a door.
func (s *Store) Calls(door string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[door]
}

// Value returns a row's value, nil when there is none.
func (s *Store) Value(table, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[rowKey{table, "", key}].Value
}

func (s *Store) write(r storeRow) {
	k := rowKey{r.Table, r.Part, r.Key}
	if r.Deleted {
		delete(s.rows, k)
	} else {
		s.rows[k] = r
	}
	s.history = append(s.history, r)
}

func (s *Store) tell() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Door returns the handler for one machine, whose faults are its own.
func (s *Store) Door(name string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	mux.HandleFunc("POST /rows-tx", func(w http.ResponseWriter, r *http.Request) { s.transact(w, r, name) })
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls[name]++
		f := s.doors[name]
		s.mu.Unlock()
		switch {
		case f.Silent:
			<-r.Context().Done()
		case f.Status != 0:
			w.WriteHeader(f.Status)
		default:
			mux.ServeHTTP(w, r)
		}
	})
}

type storeAnswer struct {
	Rows    []storeRow `json:"rows,omitempty"`
	HasMore bool       `json:"hasMore"`
	Ver     uint64     `json:"ver"`
	NowMs   int64      `json:"nowMs"`
}

func reply(w http.ResponseWriter, status int, a storeAnswer) {
	a.NowMs = time.Now().UnixMilli()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(a) // a caller that has left
}

const storePage = 500

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > storePage {
		limit = storePage
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	a := storeAnswer{Ver: s.ver}
	for k, row := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") && (q.Get("to") == "" || k.key < q.Get("to")) {
			a.Rows = append(a.Rows, row)
		}
	}
	slices.SortFunc(a.Rows, func(x, y storeRow) int { return strings.Compare(x.Key, y.Key) })
	if len(a.Rows) > limit {
		a.Rows, a.HasMore = a.Rows[:limit], true
	}
	reply(w, http.StatusOK, a)
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timer := time.NewTimer(max(time.Duration(wait)*time.Millisecond, time.Nanosecond))
	defer timer.Stop()
	for {
		s.mu.Lock()
		a := storeAnswer{Ver: s.ver}
		lost := after < s.forgotten
		for _, row := range s.history {
			if row.Table == q.Get("table") && row.Ver > after {
				a.Rows = append(a.Rows, row)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if lost {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(a.Rows) > 0 {
			reply(w, http.StatusOK, a)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(w, http.StatusOK, a)
			return
		case <-r.Context().Done():
			return
		}
	}
}

type storeTxn struct {
	ExpectedRev []storeRow `json:"expectedRev"`
	Puts        []storeRow `json:"puts"`
	Deletes     []storeRow `json:"deletes"`
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request, door string) {
	var t storeTxn
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status, a, lose := s.apply(t, door)
	if lose {
		panic(http.ErrAbortHandler)
	}
	reply(w, status, a)
}

func (s *Store) apply(t storeTxn, door string) (status int, a storeAnswer, lose bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, row := range slices.Concat(t.Puts, t.Deletes) {
		if row.Table == "op" || row.Table == "servers" {
			return http.StatusForbidden, a, false
		}
	}
	for _, c := range t.ExpectedRev {
		row := s.rows[rowKey{c.Table, c.Part, c.Key}]
		if row.Ver != c.Ver {
			return http.StatusPreconditionFailed, storeAnswer{Rows: []storeRow{row}, Ver: s.ver}, false
		}
	}
	s.ver++
	for _, row := range t.Puts {
		row.Ver = s.ver
		s.write(row)
	}
	for _, row := range t.Deletes {
		row.Ver, row.Deleted = s.ver, true
		s.write(row)
	}
	s.tell()
	return http.StatusOK, storeAnswer{Ver: s.ver}, s.doors[door].LoseAnswers
}
