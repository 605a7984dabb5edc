package inflight

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"
)

func TestCounter(t *testing.T) {
	for _, draining := range []bool{false, true} {
		var c Counter
		h := c.Handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			assert.Equal(t, c.Load(), int64(1))
			panic(http.ErrAbortHandler)
		}), func() bool { return draining })
		w := httptest.NewRecorder()
		func() {
			defer func() { assert.Equal(t, recover(), http.ErrAbortHandler) }()
			h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil))
		}()
		assert.Equal(t, c.Load(), int64(0), "an aborted request is no longer counted")
		assert.Equal(t, w.Header().Get("Connection") == "close", draining)
	}
}
