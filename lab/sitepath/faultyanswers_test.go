package sitepath

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/lab/site"
)

// framing is how the end of a response is marked.
type framing string

const (
	byLength     framing = "length"
	byChunks     framing = "chunks"
	byConnection framing = "connection"
)

var framings = []framing{byLength, byChunks, byConnection}

// end returns what follows a response.
func (f framing) end() site.End {
	if f == byConnection {
		return site.Close
	}
	return site.KeepOpen
}

// response returns a response byte for byte. The header lines end with CRLF.
func (f framing) response(status int, header, body string) string {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\n%s", status, http.StatusText(status), header)
	switch {
	case status == http.StatusNoContent || f == byConnection:
		return head + "\r\n" + body
	case f == byLength:
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	case body == "":
		return head + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
	default:
		return head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	}
}

// setScripts makes the connection of the n-th request that arrives follow the n-th
// script, whichever upstreams receive them. Later requests are served.
func (d *deployment) setScripts(scripts ...[]site.Step) {
	unused := make(chan []site.Step, len(scripts))
	for _, s := range scripts {
		unused <- s
	}
	for _, u := range d.upstreams() {
		u.ChooseScript = func(r *http.Request) []site.Step {
			if r.Header.Get("X-Request-Id") == "" {
				return nil
			}
			select {
			case s := <-unused:
				return s
			default:
				return nil
			}
		}
	}
}

// caller is a kind of request.
type caller struct {
	name, method, host, path string
	body                     string
	repeatable               bool
}

var (
	unsafeCaller = caller{name: "unsafe", method: http.MethodPost, host: plainHost, path: "/order/1"}
	// longCaller sends a body that a daemon writes while it waits for the response.
	longCaller   = caller{name: "unsafe with a long body", method: http.MethodPost, host: plainHost, path: "/order/1", body: strings.Repeat("x", 8<<10)}
	safeCaller   = caller{name: "safe", method: http.MethodGet, host: plainHost, path: "/read/1", repeatable: true}
	onceCaller   = caller{name: "stream", method: http.MethodPost, host: modelHost, path: "/once/1"}
	resumeCaller = caller{name: "resumable stream", method: http.MethodPost, host: modelHost, path: "/chat/1", repeatable: true}
	callers      = []caller{unsafeCaller, longCaller, safeCaller, onceCaller, resumeCaller}
)

// askAs sends a request to the first daemon and returns its ID too.
func (d *deployment) askAs(c caller) (string, answer) {
	var id string
	a := d.ask(d.processes[0], c.method, c.host, c.path, func(r *http.Request) {
		id = r.Header.Get("X-Request-Id")
		if c.body != "" {
			body, err := http.NewRequest(c.method, "http://unused", strings.NewReader(c.body))
			assert.NilError(d.t, err)
			r.Body, r.ContentLength = body.Body, body.ContentLength
		}
	})
	return id, a
}

// askTogether sends n requests at once and returns the answers by request ID.
func (d *deployment) askTogether(c caller, n int) map[string]answer {
	var mu sync.Mutex
	var wg sync.WaitGroup
	out := map[string]answer{}
	for range n {
		wg.Go(func() {
			id, a := d.askAs(c)
			mu.Lock()
			defer mu.Unlock()
			out[id] = a
		})
	}
	wg.Wait()
	return out
}

// checkWhole checks that a caller got the whole answer of an upstream.
func (d *deployment) checkWhole(c caller, a answer) {
	d.t.Helper()
	assert.NilError(d.t, a.err)
	assert.Equal(d.t, a.status, http.StatusOK, a.body)
	assert.Assert(d.t, a.header.Get("X-Response-Stamp") != "")
	if c.host == modelHost {
		assert.Equal(d.t, a.body, wholeStream(10))
		return
	}
	assert.Assert(d.t, strings.HasPrefix(a.body, "answer from ledger-") && len(a.body) == len("answer from ledger-0"), a.body)
}

// checkUnknown checks that the caller of a request which must not be repeated got a
// status that promises nothing, and that the request ran once at most.
func (d *deployment) checkUnknown(c caller, a answer, runs int) {
	d.t.Helper()
	assert.NilError(d.t, a.err)
	assert.Equal(d.t, a.status, http.StatusBadGateway, "%s: %s", c.name, a.body)
	assert.Equal(d.t, a.header.Get("Retry-After"), "")
	assert.Equal(d.t, a.header.Get("X-Response-Stamp"), "")
	assert.Assert(d.t, runs <= 1, "%d runs", runs)
}

// moment is when an upstream sends a refusal once more.
type moment string

const (
	atOnce         moment = "with the refusal"
	whileIdle      moment = "while idle"
	twiceWhileIdle moment = "twice while idle"
	inTwoParts     moment = "half before the next request"
	beforeAnswer   moment = "with the next answer"
	longBefore     moment = "long before the next answer"
)

const (
	notRunPromise = "X-Not-Executed: 1\r\n"
	refusalBody   = "refused\n"
	// repetitionTime is the time within which a repetition on an idle connection has arrived.
	repetitionTime = 20 * time.Millisecond
	// maxRounds bounds the rounds of requests until one is sent on a given connection.
	maxRounds = 10
)

// repetition is a refusal that an upstream sends once more, on a kept connection.
type repetition struct {
	status  int
	header  string
	framing framing
	when    moment
}

// skippable reports whether the next request's own answer can follow the repetition.
func (r repetition) skippable() bool {
	return r.framing != byConnection && strings.HasPrefix(r.header, site.FirstIdentity)
}

// script returns the steps for the refused request and the next one.
func (r repetition) script() []site.Step {
	refusal := byLength.response(http.StatusServiceUnavailable, site.Identity+notRunPromise, refusalBody)
	again := r.framing.response(r.status, r.header, refusalBody)
	half := strings.Index(again, notRunPromise) + len(notRunPromise)/2 // outside placeholders
	refused, next := site.Step{NotRun: true, Writes: []string{refusal}}, site.Step{Reached: &atomic.Bool{}}
	switch r.when {
	case atOnce:
		refused.Writes, refused.End = []string{refusal + again}, r.framing.end()
	case whileIdle:
		refused.Writes, refused.End = []string{refusal, again}, r.framing.end()
	case twiceWhileIdle:
		refused.Writes, refused.End = []string{refusal, again + again}, r.framing.end()
	case inTwoParts:
		refused.Writes = []string{refusal, again[:half]}
		next.Writes, next.End = []string{again[half:]}, r.framing.end()
	case beforeAnswer, longBefore:
		next.Writes, next.End = []string{again}, r.framing.end()
	}
	switch {
	case r.framing == byConnection: // no answer follows
	case r.when == inTwoParts || r.when == beforeAnswer:
		next.Writes[0] += site.Answer
	default:
		next.Writes = append(next.Writes, site.Answer)
	}
	return []site.Step{refused, next}
}

// A refusal that an upstream sends once more on a kept connection answers no other
// request: one that runs must not be reported as not run, nor run a second time.
func TestRepeatedRefusalAnswersNoOtherRequest(t *testing.T) {
	t.Parallel()
	for name, header := range map[string]string{"named": site.FirstIdentity + notRunPromise, "unnamed": notRunPromise} {
		var repetitions []repetition
		for _, f := range framings {
			for _, when := range []moment{atOnce, whileIdle, twiceWhileIdle, inTwoParts, beforeAnswer, longBefore} {
				repetitions = append(repetitions, repetition{http.StatusServiceUnavailable, header, f, when})
			}
			for _, status := range []int{http.StatusTooManyRequests, http.StatusMisdirectedRequest, http.StatusBadRequest} {
				repetitions = append(repetitions, repetition{status, header, f, beforeAnswer})
			}
		}
		for _, r := range repetitions {
			for _, c := range callers {
				t.Run(strings.Join([]string{c.name, name, strconv.Itoa(r.status), string(r.framing), string(r.when)}, "/"), func(t *testing.T) {
					runOnDeployment(t, func(d *deployment) { d.checkRepetition(r, c) })
				})
			}
		}
	}
}

// checkRepetition lets the first request of the deployment be refused and sends others
// until one was sent on the same connection.
func (d *deployment) checkRepetition(r repetition, c caller) {
	script := r.script()
	d.setScripts(script)
	id, a := d.askAs(c)
	d.checkWhole(c, a)
	assert.Equal(d.t, len(d.runs(id)), 1)
	time.Sleep(repetitionTime)
	for round := 0; !script[1].Reached.Load(); round++ {
		assert.Assert(d.t, round < maxRounds, "the connection was not used again")
		for id, a := range d.askTogether(c, 4*engines) {
			runs := len(d.runs(id))
			if !r.skippable() && !c.repeatable && (a.err != nil || a.status != http.StatusOK) {
				d.checkUnknown(c, a, runs)
				continue
			}
			d.checkWhole(c, a)
			assert.Assert(d.t, runs == 1 || !r.skippable() && c.repeatable && runs == 2, "%d runs", runs)
		}
	}
}

// A caller that uses an ID again must not get the repeated refusal of its earlier request,
// which bears the same ID.
func TestRepeatedRefusalAnswersNoRequestWithSameID(t *testing.T) {
	t.Parallel()
	for _, f := range framings {
		for _, when := range []moment{whileIdle, inTwoParts, beforeAnswer} {
			t.Run(string(f)+"/"+string(when), func(t *testing.T) {
				runOnDeploymentOf(t, daemons, 1, func(d *deployment) {
					script := repetition{http.StatusServiceUnavailable, site.FirstIdentity + notRunPromise, f, when}.script()
					d.setScripts(script)
					ask := func() answer {
						return d.ask(d.processes[0], http.MethodPost, modelHost, "/once/1", func(r *http.Request) { r.Header.Set("X-Request-Id", "again") })
					}
					assert.Equal(d.t, ask().status, http.StatusServiceUnavailable)
					assert.Equal(d.t, len(d.runs("again")), 0)
					time.Sleep(repetitionTime)
					a := ask()
					runs := len(d.runs("again"))
					if a.err != nil || a.status != http.StatusOK {
						d.checkUnknown(onceCaller, a, runs)
						return
					}
					d.checkWhole(onceCaller, a)
					assert.Equal(d.t, runs, 1)
				})
			})
		}
	}
}
