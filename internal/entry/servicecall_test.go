package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"net/http/httptest"
	"net/url"
	"path"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/verbenabend/verbenabend/internal/dispatch"
	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/membership"
	"github.com/verbenabend/verbenabend/internal/resume"
	"github.com/verbenabend/verbenabend/internal/servicedoc"
	"github.com/verbenabend/verbenabend/internal/upstream"
)

const testKey = "a-key-of-the-trust"

// fakeDocuments is a fixed set of documents by service; Submit is not supported.
type fakeDocuments map[string]*servicedoc.Accepted

func (f fakeDocuments) Get(service string) *servicedoc.Accepted   { return f[service] }
func (f fakeDocuments) Snapshot() map[string]*servicedoc.Accepted { return f }
func (f fakeDocuments) Submit(context.Context, []byte, servicedoc.Revision) (*servicedoc.Accepted, error) {
	panic("not used")
}

// fakeDispatcher records calls and resumptions; generate serves Generate, and reply, if not nil,
// answers calls.
type fakeDispatcher struct {
	calls    []*dispatch.CallRequest
	reply    *upstream.Reply
	resumed  []resume.Position
	generate func(*dispatch.ModelRequest, dispatch.Sink) error
}

func (f *fakeDispatcher) Generate(_ context.Context, req *dispatch.ModelRequest, sink dispatch.Sink) error {
	return f.generate(req, sink)
}

func (f *fakeDispatcher) Resume(_ context.Context, _ *dispatch.ModelRequest, p resume.Position, _ dispatch.Sink) error {
	f.resumed = append(f.resumed, p)
	return nil
}

func (f *fakeDispatcher) Call(_ context.Context, req *dispatch.CallRequest) (*upstream.Reply, string, error) {
	f.calls = append(f.calls, req)
	if f.reply != nil {
		return f.reply, "u", nil
	}
	return &upstream.Reply{Status: http.StatusCreated, Header: http.Header{"Connection": {"X-Secret"}, "X-Secret": {"1"}, "X-Kept": {"1"}}}, "u", nil
}

func newTestHandler(t testing.TB) (http.Handler, *fakeDispatcher) {
	sum := sha256.Sum256([]byte(testKey))
	key := hex.EncodeToString(sum[:])
	organisations := `"organisations":[{"name":"trust","key_sha256":["` + key + `"]}]`
	docs := fakeDocuments{}
	for service, rest := range map[string]string{
		"front-ledger": `"kind":"plain","calls":[{"method":"POST","path_prefix":"/search/strict","repeatable":false},{"method":"POST","path_prefix":"/search","repeatable":true}]`,
		"lamp-bench":   `"kind":"model","models":[{"name":"opal","version":"1"}]`,
		"other-bench":  `"kind":"model","models":[{"name":"opal","version":"1"}]`,
	} {
		doc, err := servicedoc.NewAccepted(1, []byte(`{"service":"`+service+`",`+organisations+`,`+rest+`}`))
		assert.NilError(t, err)
		docs[service] = doc
	}
	f := &fakeDispatcher{}
	c := &CallerAPI{
		Documents: docs, Dispatcher: f, Members: membership.New(membership.Member{Name: "d"}),
		Keys: resume.NewKeys("fleet-key", nil), Log: eventlog.New("d", hclog.NewNullLogger(), 16),
	}
	return c.Handler(), f
}

func send(h http.Handler, method, target string, header http.Header, body string) *httptest.ResponseRecorder {
	u, err := url.Parse(target)
	if err != nil {
		panic(err)
	}
	r := httptest.NewRequest(method, "http://entry/", strings.NewReader(body))
	r.URL = u
	r.Header = header.Clone()
	r.Header.Set("Authorization", "Bearer "+testKey)
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

// TestPathsCantBypassCallRules checks that a path which an upstream decodes or
// cleans differently from the daemon can't select another call's rule, such as
// one that allows a call to be repeated.
func TestPathsCantBypassCallRules(t *testing.T) {
	h, f := newTestHandler(t)
	parts := []string{"search", "strict", "orders", ".", "..", "", "%2e", "%2E%2e", "a%2Fb", "%5c", "x%00", "%73trict", "%3Fq", "%2520"}
	rapid.Check(t, func(rt *rapid.T) {
		f.calls = nil
		segments := rapid.SliceOfN(rapid.SampledFrom(parts), 1, 4).Draw(rt, "segments")
		w := send(h, http.MethodPost, "/services/front-ledger/http/"+strings.Join(segments, "/"), http.Header{"Idempotency-Key": {"k"}}, "")
		if len(f.calls) == 0 {
			assert.Equal(rt, w.Header().Get(HeaderVerdict), "not-run")
			return
		}
		// The path as an upstream may decode and clean it must match the same rule.
		u, err := url.ParseRequestURI(f.calls[0].Call.Path)
		assert.NilError(rt, err)
		assert.Equal(rt, u.RawQuery, "")
		seen := path.Clean(u.Path)
		strict := strings.HasPrefix(seen, "/search/strict")
		assert.Equal(rt, f.calls[0].Repeatable, strings.HasPrefix(seen, "/search") && !strict, "upstream sees %s", seen)
	})
}

func TestNonRepeatableCallNeedsKey(t *testing.T) {
	h, f := newTestHandler(t)
	w := send(h, http.MethodPost, "/services/front-ledger/http/orders", http.Header{}, "{}")
	assert.Equal(t, w.Code, http.StatusBadRequest)
	assert.Equal(t, w.Header().Get(HeaderVerdict), "not-run")
	assert.Equal(t, len(f.calls), 0)
}

func TestHopByHopHeadersAreNotForwarded(t *testing.T) {
	h, f := newTestHandler(t)
	header := http.Header{
		"Idempotency-Key": {"k"}, "Connection": {"close, X-Private"}, "X-Private": {"1"}, "Te": {"trailers"},
		"Verbenabend-Class": {"x"}, "X-Kept": {"1"},
	}
	w := send(h, http.MethodPost, "/services/front-ledger/http/orders", header, "{}")
	assert.Equal(t, w.Code, http.StatusCreated)
	assert.DeepEqual(t, f.calls[0].Call.Header, http.Header{"X-Kept": {"1"}})
	assert.Equal(t, w.Header().Get("X-Secret"), "")
	assert.Equal(t, w.Header().Get("X-Kept"), "1")
}

// Guards against calls that run twice: a service ran the call and answered with a status that
// callers take for "not run".
func TestReplyToCallThatRanPromisesNothing(t *testing.T) {
	h, f := newTestHandler(t)
	for _, replayed := range []bool{false, true} {
		for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest} {
			f.reply = &upstream.Reply{Status: status, Header: http.Header{"Retry-After": {"1"}}, Replayed: replayed}
			w := send(h, http.MethodPost, "/services/front-ledger/http/orders", http.Header{"Idempotency-Key": {"k"}}, "{}")
			assert.Equal(t, w.Code, http.StatusBadGateway, "status %d", status)
			assert.Equal(t, w.Header().Get(HeaderVerdict), "may-have-run")
			assert.Equal(t, w.Header().Get("Retry-After"), "")
			assert.Equal(t, w.Header().Get(HeaderReplayed) == "true", replayed)
			w = send(h, http.MethodPost, "/services/front-ledger/http/search", http.Header{}, "{}")
			assert.Equal(t, w.Code, status, "a call that may be repeated")
			assert.Equal(t, w.Header().Get("Retry-After"), "1")
		}
	}
}
