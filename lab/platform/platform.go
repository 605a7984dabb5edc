// Package platform is a stand-in for the deployment's platform: a table, an
// object store and an instance list over HTTP, with fault injection.
package platform

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	port "github.com/verbenabend/verbenabend/internal/platform"
	"github.com/verbenabend/verbenabend/internal/platform/httpplatform"
	"github.com/verbenabend/verbenabend/internal/prefix"
	"github.com/verbenabend/verbenabend/lab/httpjson"
)

const maxBodyBytes = 64 << 20

// Faults is the body of POST /control: the faults that replace the active ones.
type Faults struct {
	// Down returns status 503 for every call.
	Down bool `json:"down"`
	// TableDown returns status 503 for every call to the table.
	TableDown bool `json:"table_down"`
	// ObjectsDown returns status 503 for every call to the object store.
	ObjectsDown bool `json:"objects_down"`
	// Silent accepts every call and never responds.
	Silent bool `json:"silent"`
	// DelayMS is a delay added to every call, in milliseconds.
	DelayMS int `json:"delay_ms"`
	// LoseAnswers applies writes and then drops the connection.
	LoseAnswers bool `json:"lose_answers"`
	// LostAfterCommit, if set, applies the next transaction that writes a row whose key
	// has this prefix, then drops its connection and that of every later call.
	LostAfterCommit string `json:"lost_after_commit"`
}

// down reports whether calls to path fail with status 503.
func (f Faults) down(path string) bool {
	table := f.TableDown && strings.HasPrefix(path, "/table/")
	objects := f.ObjectsDown && strings.HasPrefix(path, "/objects")
	return f.Down || table || objects
}

// Server implements the platform's HTTP interface. Create it with New.
type Server struct {
	mu                 sync.Mutex
	rows               map[string]httpplatform.Row
	objects            map[string][]byte
	instances          map[string]port.Instance
	faults             Faults
	transactionApplied bool // a transaction was applied since the faults were set
	version            uint64
	reads              uint64
	writes             uint64
	// era is stated in all responses once it is not 0.
	era uint64
	mux *http.ServeMux
}

// New returns a platform that lists the given instances.
func New(instances []port.Instance) *Server {
	s := &Server{rows: map[string]httpplatform.Row{}, objects: map[string][]byte{}, instances: map[string]port.Instance{}, mux: http.NewServeMux()}
	for _, in := range instances {
		s.instances[in.Address] = in
	}
	s.mux.HandleFunc("GET /table/rows/{key}", s.getRow)
	s.mux.HandleFunc("GET /table/rows", s.listRows)
	s.mux.HandleFunc("POST /table/transactions", s.commit)
	s.mux.HandleFunc("PUT /objects/{key}", s.putObject)
	s.mux.HandleFunc("GET /objects/{key}", s.getObject)
	s.mux.HandleFunc("DELETE /objects/{key}", s.deleteObject)
	s.mux.HandleFunc("GET /objects", s.listObjects)
	s.mux.HandleFunc("GET /instances", s.listInstances)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/control") {
		s.control(w, r)
		return
	}
	s.mu.Lock()
	faults := s.faults
	if r.Method == http.MethodGet {
		s.reads++
	} else {
		s.writes++
	}
	s.mu.Unlock()
	s.mu.Lock()
	s.stateEra(w) // of errors, and of calls that need no row
	s.mu.Unlock()
	if faults.DelayMS > 0 {
		time.Sleep(time.Duration(faults.DelayMS) * time.Millisecond)
	}
	if faults.Silent {
		_, _ = io.Copy(io.Discard, r.Body) // the server notices a client's disconnect only once it has read the body
		<-r.Context().Done()
		return
	}
	if faults.down(r.URL.Path) {
		http.Error(w, "platform is down", http.StatusServiceUnavailable)
		return
	}
	if faults.LostAfterCommit != "" && s.applyAndDrop(r, faults.LostAfterCommit) {
		panic(http.ErrAbortHandler)
	}
	if faults.LoseAnswers && r.Method != http.MethodGet {
		s.mux.ServeHTTP(discardWriter{}, r)
		panic(http.ErrAbortHandler)
	}
	s.mux.ServeHTTP(w, r)
}

// applyAndDrop applies the first transaction after the fault was set that writes a row
// with a prefix, and reports whether the connection of r must be dropped: that is the
// case from this transaction on.
func (s *Server) applyAndDrop(r *http.Request, prefix string) bool {
	writes := r.Method == http.MethodPost && writesPrefix(r, prefix)
	s.mu.Lock()
	committed := s.transactionApplied
	s.transactionApplied = committed || writes
	s.mu.Unlock()
	if !committed && writes {
		s.mux.ServeHTTP(discardWriter{}, r)
		return true
	}
	return committed
}

// writesPrefix reports whether a transaction writes a row whose key has a prefix. It leaves
// r to be read again.
func writesPrefix(r *http.Request, prefix string) bool {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	r.Body = io.NopCloser(bytes.NewReader(body))
	var txn httpplatform.Transaction
	if err != nil || json.Unmarshal(body, &txn) != nil {
		return false
	}
	return slices.ContainsFunc(txn.Writes, func(w httpplatform.Write) bool { return strings.HasPrefix(w.Key, prefix) })
}

// SetFaults replaces the active faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.transactionApplied = false
	s.faults = f
}

// Snapshot is a copy of the table's rows.
type Snapshot struct {
	rows    map[string]httpplatform.Row
	version uint64
}

// SetEra makes the platform state an era in all responses.
func (s *Server) SetEra(era uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era = era
}

// Snapshot returns a copy of the table's rows.
func (s *Server) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Snapshot{maps.Clone(s.rows), s.version}
}

// Restore returns the table to an older copy in the next era. Versions are issued again.
func (s *Server) Restore(c Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows, s.version = maps.Clone(c.rows), c.version
	s.era++
}

// stateEra sets the header of a response. s.mu must be held.
func (s *Server) stateEra(w http.ResponseWriter) {
	if s.era != 0 {
		w.Header().Set(httpplatform.EraHeader, strconv.FormatUint(s.era, 10))
	}
}

// SetInstance adds or replaces an entry of the instance list.
func (s *Server) SetInstance(in port.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances[in.Address] = in
}

// Calls returns the number of reads and writes received, failed ones included.
func (s *Server) Calls() (reads, writes uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads, s.writes
}

// control handles POST /control (Faults) and POST /control/instances (an
// instance, or with DELETE an address).
func (s *Server) control(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/control/instances" && r.Method == http.MethodDelete:
		s.mu.Lock()
		delete(s.instances, r.URL.Query().Get("address"))
		s.mu.Unlock()
	case r.URL.Path == "/control/instances":
		var in port.Instance
		if !httpjson.Decode(w, r, &in) {
			return
		}
		s.SetInstance(in)
	default:
		var f Faults
		if !httpjson.Decode(w, r, &f) {
			return
		}
		s.SetFaults(f)
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) getRow(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	row, ok := s.rows[r.PathValue("key")]
	s.stateEra(w)
	s.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	httpjson.Reply(w, http.StatusOK, row)
}

func (s *Server) listRows(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 {
		http.Error(w, "limit must be a positive number", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stateEra(w)
	out := httpplatform.Rows{}
	for _, key := range slices.Sorted(maps.Keys(s.rows)) {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") && len(out.Rows) < limit {
			out.Rows = append(out.Rows, s.rows[key])
		}
	}
	httpjson.Reply(w, http.StatusOK, out)
}

func (s *Server) commit(w http.ResponseWriter, r *http.Request) {
	var txn httpplatform.Transaction
	if !httpjson.Decode(w, r, &txn) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stateEra(w)
	for _, c := range txn.Conditions {
		if s.rows[c.Key].Version != c.Version {
			http.Error(w, "condition does not hold: "+c.Key, http.StatusConflict)
			return
		}
	}
	s.version++
	for _, x := range txn.Writes {
		if x.Delete {
			delete(s.rows, x.Key)
			continue
		}
		s.rows[x.Key] = httpplatform.Row{Key: x.Key, Value: x.Value, Version: s.version}
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) putObject(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.objects[r.PathValue("key")] = body
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) getObject(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	body, ok := s.objects[r.PathValue("key")]
	s.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(body)
}

func (s *Server) deleteObject(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	delete(s.objects, r.PathValue("key"))
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) listObjects(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := httpplatform.Keys{}
	for _, key := range slices.Sorted(maps.Keys(s.objects)) {
		if strings.HasPrefix(key, r.URL.Query().Get("prefix")) {
			out.Keys = append(out.Keys, key)
		}
	}
	httpjson.Reply(w, http.StatusOK, out)
}

func (s *Server) listInstances(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := httpplatform.InstanceList{}
	for _, address := range slices.Sorted(maps.Keys(s.instances)) {
		out.Instances = append(out.Instances, s.instances[address])
	}
	tag := strconv.Quote(strconv.FormatUint(prefix.NodeHash(fmt.Sprint(out.Instances)), 16))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	httpjson.Reply(w, http.StatusOK, out)
}

// discardWriter is a ResponseWriter that drops the response.
type discardWriter struct{}

func (discardWriter) Header() http.Header         { return http.Header{} }
func (discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (discardWriter) WriteHeader(int)             {}
