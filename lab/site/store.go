// Package site holds stand-ins for the users' platform: its metadata store, its
// store of cached prompts and the upstreams that register there. They follow the
// platform's published protocol.
package site

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Fault is how the store misbehaves towards one client.
type Fault struct {
	// Status, if not 0, is returned for every call, which has no effect.
	Status int
	// Unresponsive leaves every call without a response or effect.
	Unresponsive bool
	// RefuseReadsOf, if not empty, refuses reads of this table with status 503.
	RefuseReadsOf string
	// RefuseWrites refuses every write with status 503.
	RefuseWrites bool
	// RefuseWritesTo, if not empty, refuses writes of rows whose keys start with it.
	RefuseWritesTo string
	// DropResponses applies writes and then closes their connection.
	DropResponses bool
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
	version uint64
	history []storeRow
	// compactedVersion is the version up to which the history was discarded.
	compactedVersion uint64
	changed          chan struct{}
	faults           map[string]Fault
	calls            map[string]int
	// startedAt is the zero of the store's clock, skipped the time by which it was put
	// forward.
	startedAt time.Time
	skipped   time.Duration
	// era is stated in the header Store-Era of all responses; 0 is not stated.
	era atomic.Uint64
}

// Snapshot is a copy of a Store's rows.
type Snapshot struct {
	rows             map[rowKey]storeRow
	history          []storeRow
	version          uint64
	compactedVersion uint64
}

// SetEra makes the store state an era in all responses. 0 states none.
func (s *Store) SetEra(era uint64) { s.era.Store(era) }

// Snapshot returns a copy of the rows.
func (s *Store) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Snapshot{rows: maps.Clone(s.rows), history: slices.Clone(s.history), version: s.version, compactedVersion: s.compactedVersion}
}

// Restore returns the store to an older copy in the next era. Reads from versions that it does
// not have get status 410, also those that are open.
func (s *Store) Restore(c Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows, s.history, s.version, s.compactedVersion = maps.Clone(c.rows), slices.Clone(c.history), c.version, c.compactedVersion
	s.era.Add(1)
	s.notifyWatchers()
}

// eraWriter states the era in which a response begins.
type eraWriter struct {
	http.ResponseWriter
	store *Store
	began bool
}

// WriteHeader implements http.ResponseWriter. Its callers may hold the lock; they have stated the era
// in which they read the rows.
func (w *eraWriter) WriteHeader(status int) {
	if !w.began && w.Header().Get(eraHeader) == "" {
		w.store.stateEra(w.Header())
	}
	w.began = true
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *eraWriter) Write(b []byte) (int, error) {
	if !w.began {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(b)
}

const eraHeader = "Store-Era"

// stateEra sets the header. Under s.mu it is the era of the rows.
func (s *Store) stateEra(h http.Header) {
	if era := s.era.Load(); era != 0 {
		h.Set(eraHeader, strconv.FormatUint(era, 10))
	}
}

// NewStore returns an empty Store.
func NewStore() *Store {
	return &Store{rows: map[rowKey]storeRow{}, changed: make(chan struct{}), faults: map[string]Fault{}, calls: map[string]int{}, startedAt: time.Now()}
}

// Put writes a row as JSON, with the rights of operators and upstreams.
func (s *Store) Put(table, key string, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		panic(err) // tests pass encodable values only
	}
	s.PutBytes(table, key, body)
}

// PutBytes writes a row of any content, also invalid.
func (s *Store) PutBytes(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(storeRow{Table: table, Key: key, Value: value, Ver: s.version})
	s.notifyWatchers()
}

func (s *Store) Delete(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(storeRow{Table: table, Key: key, Ver: s.version, Deleted: true})
	s.notifyWatchers()
}

// Compact discards the history of changes, so that feeds that are behind get
// status 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedVersion = nil, s.version
	s.notifyWatchers()
}

// SetFault replaces the fault for a client's calls.
func (s *Store) SetFault(client string, f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[client] = f
}

// Calls returns the number of calls that a client made.
func (s *Store) Calls(client string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[client]
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

func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// HandlerFor returns the handler that serves one client, with that client's
// faults and call count.
func (s *Store) HandlerFor(client string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	mux.HandleFunc("POST /rows-tx", func(w http.ResponseWriter, r *http.Request) { s.transact(w, r, client) })
	return http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		w := &eraWriter{ResponseWriter: out, store: s}
		s.mu.Lock()
		s.calls[client]++
		f := s.faults[client]
		s.mu.Unlock()
		switch {
		case f.Unresponsive:
			_, _ = io.Copy(io.Discard, r.Body) // a server sees the end of a connection only after the body
			<-r.Context().Done()
		case f.Status != 0:
			w.WriteHeader(f.Status)
		case f.RefuseReadsOf != "" && r.Method == http.MethodGet && r.URL.Query().Get("table") == f.RefuseReadsOf:
			w.WriteHeader(http.StatusServiceUnavailable)
		case f.RefuseWrites && r.Method == http.MethodPost:
			w.WriteHeader(http.StatusServiceUnavailable)
		default:
			mux.ServeHTTP(w, r)
		}
	})
}

type storeResponse struct {
	Rows    []storeRow `json:"rows,omitempty"`
	HasMore bool       `json:"hasMore"`
	Ver     uint64     `json:"ver"`
	NowMs   int64      `json:"nowMs"`
}

// nowMS returns the store's clock. s.mu must be held.
func (s *Store) nowMS() int64 {
	return (clockOrigin + time.Since(s.startedAt) + s.skipped).Milliseconds()
}

// clockOrigin is what the store's clock shows when the store starts. Its clients take 0
// for no reading.
const clockOrigin = time.Second

// SkipTime puts the store's clock forward. To daemons that is as if they had been
// suspended for that time.
func (s *Store) SkipTime(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.skipped += d
}

func writeResponse(w http.ResponseWriter, status int, resp storeResponse) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(resp) // fails only if the client disconnected
}

const maxPageRows = 500

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > maxPageRows {
		limit = maxPageRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stateEra(w.Header())
	resp := storeResponse{Ver: s.version, NowMs: s.nowMS()}
	for k, row := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") && (q.Get("to") == "" || k.key < q.Get("to")) {
			resp.Rows = append(resp.Rows, row)
		}
	}
	slices.SortFunc(resp.Rows, func(x, y storeRow) int { return strings.Compare(x.Key, y.Key) })
	if len(resp.Rows) > limit {
		resp.Rows, resp.HasMore = resp.Rows[:limit], true
	}
	writeResponse(w, http.StatusOK, resp)
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timer := time.NewTimer(max(time.Duration(wait)*time.Millisecond, time.Nanosecond))
	defer timer.Stop()
	for {
		s.mu.Lock()
		resp := storeResponse{Ver: s.version, NowMs: s.nowMS()}
		compacted := after < s.compactedVersion || after > s.version
		s.stateEra(w.Header())
		for _, row := range s.history {
			if row.Table == q.Get("table") && row.Ver > after {
				resp.Rows = append(resp.Rows, row)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if compacted {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(resp.Rows) > 0 {
			writeResponse(w, http.StatusOK, resp)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			s.mu.Lock()
			resp.NowMs = s.nowMS()
			s.mu.Unlock()
			writeResponse(w, http.StatusOK, resp)
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

func (s *Store) transact(w http.ResponseWriter, r *http.Request, client string) {
	var t storeTxn
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status, resp, dropResponse := s.apply(w.Header(), t, client)
	if dropResponse {
		panic(http.ErrAbortHandler)
	}
	writeResponse(w, status, resp)
}

func (s *Store) apply(h http.Header, t storeTxn, client string) (status int, resp storeResponse, dropResponse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stateEra(h)
	refused := s.faults[client].RefuseWritesTo
	for _, row := range slices.Concat(t.Puts, t.Deletes) {
		if refused != "" && strings.HasPrefix(row.Key, refused) {
			return http.StatusServiceUnavailable, resp, false
		}
		if row.Table == "op" || row.Table == "servers" {
			return http.StatusForbidden, resp, false
		}
	}
	for _, c := range t.ExpectedRev {
		row := s.rows[rowKey{c.Table, c.Part, c.Key}]
		if row.Ver != c.Ver {
			return http.StatusPreconditionFailed, storeResponse{Rows: []storeRow{row}, Ver: s.version, NowMs: s.nowMS()}, false
		}
	}
	s.version++
	for _, row := range t.Puts {
		row.Ver = s.version
		s.write(row)
	}
	for _, row := range t.Deletes {
		row.Ver, row.Deleted = s.version, true
		s.write(row)
	}
	s.notifyWatchers()
	return http.StatusOK, storeResponse{Ver: s.version, NowMs: s.nowMS()}, s.faults[client].DropResponses
}
