// Package service is a stand-in for a plain service that takes orders. It counts
// the executions per idempotency key, so that tests can detect repeated ones.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/verbenabend/verbenabend/internal/upstream/httpservice"
	"github.com/verbenabend/verbenabend/lab/httpjson"
)

const maxBodyBytes = 32 << 20

// Order is the response to POST /orders.
type Order struct {
	Number int    `json:"number"`
	Key    string `json:"key"`
	Runs   int    `json:"runs"`
}

// Faults is the body of POST /control.
type Faults struct {
	// Refuse rejects orders before they run.
	Refuse bool `json:"refuse"`
	// DropBeforeRun drops the connection before an order runs.
	DropBeforeRun bool `json:"drop_before_run"`
	// DropAfterRun runs an order and then drops the connection.
	DropAfterRun bool `json:"drop_after_run"`
	// DelayMS is how long an order takes, in milliseconds.
	DelayMS int `json:"delay_ms"`
}

// Server implements the service's HTTP interface.
type Server struct {
	mux        *http.ServeMux
	mu         sync.Mutex
	runsByKey  map[string]int
	orderCount int
	faults     Faults
}

func New() *Server {
	s := &Server{mux: http.NewServeMux(), runsByKey: map[string]int{}}
	s.mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	s.mux.HandleFunc("POST /orders", s.placeOrder)
	s.mux.HandleFunc("GET /orders", s.listOrders)
	s.mux.HandleFunc("POST /control", s.control)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// RunsByKey returns the number of executions per idempotency key.
func (s *Server) RunsByKey() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int{}
	for k, n := range s.runsByKey {
		out[k] = n
	}
	return out
}

func (s *Server) placeOrder(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxBodyBytes)); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	key := r.Header.Get(httpservice.HeaderIdempotencyKey)
	s.mu.Lock()
	if f := s.faults; f.Refuse || f.DropBeforeRun {
		s.mu.Unlock()
		refuse(w, r, f)
		return
	}
	s.orderCount++
	s.runsByKey[key]++
	answer := Order{Number: s.orderCount, Key: key, Runs: s.runsByKey[key]}
	faults := s.faults
	s.mu.Unlock()
	time.Sleep(time.Duration(faults.DelayMS) * time.Millisecond)
	if faults.DropAfterRun {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	_ = json.NewEncoder(w).Encode(answer)
}

// refuse drops the connection of an order or rejects it as not run.
func refuse(w http.ResponseWriter, r *http.Request, f Faults) {
	if f.DropBeforeRun {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(httpservice.HeaderNotRun, r.Header.Get(httpservice.HeaderRequestID))
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (s *Server) listOrders(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.RunsByKey())
}

func (s *Server) control(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !httpjson.Decode(w, r, &f) {
		return
	}
	s.mu.Lock()
	s.faults = f
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}
