package sitepath

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/lab/site"
)

// wholeStream returns the body of a complete stream.
func wholeStream(events int) string {
	var b strings.Builder
	for i := 1; i <= events; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: token %d\n\n", i, i)
	}
	return b.String()
}

func TestRequestsReachTheirService(t *testing.T) {
	t.Parallel()
	runOnDeployment(t, func(d *deployment) {
		p := d.processes[0]
		resp := d.ask(p, http.MethodPost, plainHost, "/order/7?x=1", func(r *http.Request) {
			r.Header.Set("X-Tenant", "someone else")
			r.Header.Set("X-Hold", "forged")
			r.Header.Set("X-Custom", "kept")
		})
		assert.NilError(t, resp.err)
		assert.Equal(t, resp.status, http.StatusOK)
		assert.Assert(t, strings.HasPrefix(resp.body, "answer from ledger-"), resp.body)
		assert.Assert(t, strings.HasPrefix(resp.header.Get("X-Response-Stamp"), "proof-ledger-"))
		runs := d.runs("request-1")
		assert.Equal(t, len(runs), 1)
		assert.Equal(t, runs[0].Path, "/order/7?x=1")
		h := runs[0].Header
		assert.Equal(t, h.Get("X-Tenant"), "trust")
		assert.Equal(t, h.Get("X-Hold"), "")
		assert.Equal(t, h.Get("X-Key"), "")
		assert.Equal(t, h.Get("X-Custom"), "kept")
		deadlineMS, err := strconv.Atoi(h.Get("X-Deadline-Ms"))
		assert.NilError(t, err)
		assert.Assert(t, deadlineMS <= 1500, "the deadline sent on exceeds the route's timeout: %d ms", deadlineMS)

		resp = d.ask(p, http.MethodPost, modelHost, "/chat/1", nil)
		assert.NilError(t, resp.err)
		assert.Equal(t, resp.body, wholeStream(10))

		assert.Equal(t, d.ask(p, http.MethodGet, "elsewhere.example", "/read/1", nil).status, http.StatusNotFound)
		assert.Equal(t, d.ask(p, http.MethodGet, plainHost, "/reading", nil).status, http.StatusNotFound)
		withUnknownKey := func(r *http.Request) { r.Header.Set("X-Key", "unknown") }
		assert.Equal(t, d.ask(p, http.MethodGet, plainHost, "/read/1", withUnknownKey).status, http.StatusUnauthorized)
	})
}

func TestUnsafeRequestRunsAtMostOnce(t *testing.T) {
	t.Parallel()
	for _, behaviour := range []site.Behaviour{site.DropResponse, site.TruncateResponse, site.Hang} {
		runOnDeployment(t, func(d *deployment) {
			d.setFirstRequestBehaviour(behaviour)
			a := d.ask(d.processes[0], http.MethodPost, plainHost, "/order/1", nil)
			assert.NilError(t, a.err)
			assert.Assert(t, a.status == http.StatusBadGateway || a.status == http.StatusGatewayTimeout, "status %d does not say that the outcome is unknown", a.status)
			assert.Equal(t, len(d.runs("request-1")), 1)
		})
	}
}

// A successful response without the upstream's X-Response-Stamp is not forwarded:
// a safe request is retried, an unsafe one fails with an unknown outcome.
func TestSuccessWithoutStampIsNotForwarded(t *testing.T) {
	t.Parallel()
	runOnDeployment(t, func(d *deployment) {
		d.setFirstRequestBehaviour(site.OmitStamp)
		a := d.ask(d.processes[0], http.MethodPost, plainHost, "/order/1", nil)
		assert.NilError(t, a.err)
		assert.Equal(t, a.status, http.StatusBadGateway)
		assert.Equal(t, len(d.runs("request-1")), 1)
	})
	runOnDeployment(t, func(d *deployment) {
		d.setFirstRequestBehaviour(site.OmitStamp)
		a := d.ask(d.processes[0], http.MethodGet, plainHost, "/read/1", nil)
		assert.NilError(t, a.err)
		assert.Equal(t, a.status, http.StatusOK)
		assert.Assert(t, a.header.Get("X-Response-Stamp") != "")
		assert.Equal(t, len(d.runs("request-1")), 2)
	})
}

func TestShedRequestIsRetriedElsewhere(t *testing.T) {
	t.Parallel()
	runOnDeployment(t, func(d *deployment) {
		d.setFirstRequestBehaviour(site.Shed)
		a := d.ask(d.processes[0], http.MethodPost, plainHost, "/order/1", nil)
		assert.Equal(t, a.status, http.StatusOK)
		assert.Equal(t, len(d.runs("request-1")), 1)
	})
}

func TestNotRunVerdictIsCorrect(t *testing.T) {
	t.Parallel()
	runOnDeployment(t, func(d *deployment) {
		for _, u := range d.ledgers {
			u.ChooseBehaviour = func(*http.Request) site.Behaviour { return site.Shed }
		}
		a := d.ask(d.processes[0], http.MethodPost, plainHost, "/order/1", nil)
		assert.Equal(t, a.status, http.StatusServiceUnavailable)
		after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
		assert.NilError(t, err)
		assert.Assert(t, after > 0 && after <= 0.5, "want at most a third of the route's timeout of 1.5 s: %g", after)
		assert.Equal(t, len(d.runs("request-1")), 0)
	})
}

func TestSafeRequestIsRetried(t *testing.T) {
	t.Parallel()
	for _, behaviour := range []site.Behaviour{site.DropResponse, site.TruncateResponse, site.ServerError} {
		runOnDeployment(t, func(d *deployment) {
			d.setFirstRequestBehaviour(behaviour)
			a := d.ask(d.processes[0], http.MethodGet, plainHost, "/read/1", nil)
			assert.NilError(t, a.err)
			assert.Equal(t, a.status, http.StatusOK)
			assert.Equal(t, len(d.runs("request-1")), 2)
		})
	}
}

func TestAnswerToAnotherRequestIsSkipped(t *testing.T) {
	t.Parallel()
	runOnDeployment(t, func(d *deployment) {
		d.setFirstRequestBehaviour(site.ForeignResponseFirst)
		a := d.ask(d.processes[0], http.MethodPost, plainHost, "/order/1", nil)
		assert.Equal(t, a.status, http.StatusOK)
		assert.Equal(t, a.body, "answer to request-1")
	})
}

func TestResumableStreamContinuesElsewhere(t *testing.T) {
	t.Parallel()
	runOnDeployment(t, func(d *deployment) {
		d.setFirstRequestBehaviour(site.TruncateResponse)
		a := d.ask(d.processes[0], http.MethodPost, modelHost, "/chat/1", nil)
		assert.NilError(t, a.err)
		assert.Equal(t, a.body, wholeStream(10))
		runs := d.runs("request-1")
		assert.Equal(t, len(runs), 2)
	})
}

func TestBrokenStreamIsNotReportedComplete(t *testing.T) {
	t.Parallel()
	runOnDeployment(t, func(d *deployment) {
		d.setFirstRequestBehaviour(site.TruncateResponse)
		a := d.ask(d.processes[0], http.MethodPost, modelHost, "/once/1", nil)
		assert.Assert(t, a.err != nil)
		assert.Assert(t, strings.HasPrefix(wholeStream(10), a.body), "want only complete events in order: %q", a.body)
		assert.Equal(t, len(d.runs("request-1")), 1)
	})
}

func TestCallerDisconnectCancelsWork(t *testing.T) {
	t.Parallel()
	runOnDeployment(t, func(d *deployment) {
		d.setFirstRequestBehaviour(site.Hang)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan answer)
		go func() {
			done <- d.ask(d.processes[0], http.MethodPost, modelHost, "/chat/1", func(r *http.Request) { *r = *r.WithContext(ctx) })
		}()
		d.eventually("the request runs", time.Second, func() bool { return len(d.runs("request-1")) == 1 })
		cancel()
		<-done
		d.eventually("the run ends", 500*time.Millisecond, func() bool { return !d.runs("request-1")[0].EndedAt.IsZero() })
	})
}

func TestIsolatedOrganisationsShareNoCache(t *testing.T) {
	t.Parallel()
	runOnDeployment(t, func(d *deployment) {
		p := d.processes[0]
		d.ask(p, http.MethodPost, modelHost, "/chat/1", func(r *http.Request) { r.Header.Set("X-Cache-Salt", "forged") })
		d.ask(p, http.MethodPost, modelHost, "/chat/1", func(r *http.Request) { r.Header.Set("X-Key", otherCallerKey) })
		shared := d.runs("request-1")[0].Header.Get("X-Cache-Salt")
		isolated := d.runs("request-2")[0].Header.Get("X-Cache-Salt")
		assert.Assert(t, shared != isolated && shared != "forged" && isolated != "", "%q, %q", shared, isolated)
	})
}

// A request whose body stalls is refused at its deadline and not run. One whose
// body is slow but arrives before the deadline is served.
func TestBodyReadDeadline(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		pause time.Duration
		want  int
	}{{time.Second, http.StatusOK}, {time.Hour, http.StatusServiceUnavailable}} {
		runOnDeployment(t, func(d *deployment) {
			reader, writer := io.Pipe()
			defer reader.Close()
			ended := make(chan struct{})
			defer close(ended)
			go func() {
				_, _ = io.WriteString(writer, "half")
				select {
				case <-time.After(c.pause):
				case <-ended:
				}
				_, _ = io.WriteString(writer, "rest")
				writer.Close()
			}()
			start := time.Now()
			a := d.ask(d.processes[0], http.MethodPost, plainHost, "/order/1", func(r *http.Request) {
				r.Body, r.ContentLength = reader, 8
			})
			assert.NilError(t, a.err)
			assert.Equal(t, a.status, c.want)
			assert.Assert(t, time.Since(start) < 1600*time.Millisecond, "want a response within the route's timeout of 1.5 s")
			assert.Equal(t, len(d.runs("request-1")) == 1, c.want == http.StatusOK)
		})
	}
}
