package sitepath

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"
)

// loseNextOperatorAnswer returns a function after which the store's next answer about the
// operators' rows to a daemon is lost: its connection goes silent, all others work.
func (d *deployment) loseNextOperatorAnswer(daemon int) func() {
	inner := d.store.HandlerFor(d.processes[daemon].name)
	var lose atomic.Bool
	d.serve(fmt.Sprintf("10.9.0.%d:80", daemon+1), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/rows-feed" || r.URL.Query().Get("table") != "op" {
			inner.ServeHTTP(w, r)
			return
		}
		answer := httptest.NewRecorder()
		inner.ServeHTTP(answer, r)
		if lose.CompareAndSwap(true, false) {
			<-r.Context().Done()
			return
		}
		w.WriteHeader(answer.Code)
		_, _ = w.Write(answer.Body.Bytes())
	}))
	time.Sleep(10 * time.Second) // until the daemon is connected again
	d.publish()                  // starts another long poll
	time.Sleep(100 * time.Millisecond)
	return func() { lose.Store(true) }
}
