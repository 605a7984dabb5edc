// Package inflight counts the requests that a daemon is serving.
package inflight

import (
	"net/http"
	"sync/atomic"
)

// Counter counts requests in progress. It is safe for concurrent use.
type Counter struct{ n atomic.Int64 }

// Load returns the number of requests in progress.
func (c *Counter) Load() int64 { return c.n.Load() }

// Handler returns a handler that counts the requests served by next. While
// draining returns true, responses tell the caller to close its connection.
func (c *Counter) Handler(next http.Handler, draining func() bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.n.Add(1)
		defer c.n.Add(-1)
		if draining() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
