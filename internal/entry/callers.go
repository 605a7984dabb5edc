// Package entry holds the HTTP handlers of a daemon: one for callers and one
// for operators.
package entry

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/verbenabend/verbenabend/internal/dispatch"
	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/membership"
	"github.com/verbenabend/verbenabend/internal/resume"
	"github.com/verbenabend/verbenabend/internal/servicedoc"
	"github.com/verbenabend/verbenabend/internal/upstream"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

// Documents holds the service documents in force.
type Documents interface {
	// Get returns a service's document in force, or nil.
	Get(service string) *servicedoc.Accepted
	// Snapshot returns every document in force by service; it must not be changed.
	Snapshot() map[string]*servicedoc.Accepted
	// Submit stores body as the revision that follows baseRevision. It returns
	// strictjson.Faults for an invalid document, *docstore.ConflictError when
	// another revision is in force, or a verdict.Error.
	Submit(ctx context.Context, body []byte, baseRevision servicedoc.Revision) (*servicedoc.Accepted, error)
}

// Dispatcher sends requests to upstreams.
type Dispatcher interface {
	Generate(ctx context.Context, req *dispatch.ModelRequest, sink dispatch.Sink) error
	Resume(ctx context.Context, req *dispatch.ModelRequest, p resume.Position, sink dispatch.Sink) error
	Call(ctx context.Context, req *dispatch.CallRequest) (*upstream.Reply, string, error)
}

// CallerAPI configures the HTTP handler for callers.
type CallerAPI struct {
	Documents  Documents
	Dispatcher Dispatcher
	Members    *membership.Members
	Keys       *resume.Keys
	Log        *eventlog.Log
	// Delay returns the one-way network delay between two data centres.
	Delay func(from, to string) time.Duration
	// EntryMaxAge is how long callers may cache a response of GET /v1/entries.
	EntryMaxAge time.Duration

	bodyBudget bodyBudget
}

// Headers exchanged with callers.
const (
	HeaderClass          = "Verbenabend-Class"
	HeaderDeadline       = "Verbenabend-Deadline-Ms"
	HeaderRequestID      = "Verbenabend-Request-Id"
	HeaderUpstream       = "Verbenabend-Upstream"
	HeaderReplayed       = "Verbenabend-Replayed"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderLastEventID    = "Last-Event-ID"
)

const maxIdempotencyKeyBytes = 255

// Handler returns the HTTP handler for callers.
func (c *CallerAPI) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/entries", c.serveEntries)
	mux.HandleFunc("POST /services/{service}/v1/chat/completions", c.serveChat)
	mux.HandleFunc("POST /services/{service}/v1/completions", c.serveTextCompletion)
	mux.HandleFunc("/services/{service}/http/{path...}", c.serveCall)
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		WriteError(w, verdict.New(verdict.NotRun, verdict.CodeNotFound, "no such path"))
	})
	return rejectAmbiguousPaths(mux)
}

// Entries is the response to GET /v1/entries.
type Entries struct {
	Entries  []Entry `json:"entries"`
	MaxAgeMS int64   `json:"max_age_ms"`
}

// Entry is the address of a daemon that accepts callers.
type Entry struct {
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
}

func (c *CallerAPI) serveEntries(w http.ResponseWriter, r *http.Request) {
	out := Entries{Entries: []Entry{}, MaxAgeMS: c.EntryMaxAge.Milliseconds()}
	for _, m := range c.Members.Entries(r.URL.Query().Get("data_centre"), c.Delay) {
		out.Entries = append(out.Entries, Entry{Address: m.CallerAddress, DataCentre: m.DataCentre})
	}
	writeJSON(w, http.StatusOK, out)
}

// authenticatedRequest names the service and the organisation of a request
// whose key was verified.
type authenticatedRequest struct {
	requestID    string
	doc          *servicedoc.Accepted
	organisation *servicedoc.Organisation
}

// authenticateAndRead authenticates a request and reads its body. release
// returns the body's bytes to the budget.
func (c *CallerAPI) authenticateAndRead(w http.ResponseWriter, r *http.Request, kind servicedoc.Kind) (auth authenticatedRequest, body []byte, release func(), err error) {
	auth, err = c.authenticate(w, r, kind)
	if err != nil {
		return auth, nil, nil, err
	}
	body, release, err = c.bodyBudget.read(w, r, auth.doc.Document.Limits.MaxBodyBytes)
	return auth, body, release, err
}

func (c *CallerAPI) authenticate(w http.ResponseWriter, r *http.Request, kind servicedoc.Kind) (authenticatedRequest, error) {
	id := rand.Text()
	w.Header().Set(HeaderRequestID, id)
	doc := c.Documents.Get(r.PathValue("service"))
	if doc == nil || doc.Document.Kind != kind {
		return authenticatedRequest{}, verdict.New(verdict.NotRun, verdict.CodeNotFound, "no such service")
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return authenticatedRequest{}, verdict.New(verdict.NotRun, verdict.CodeUnauthorized, "the Authorization header must carry a bearer key")
	}
	organisation := doc.Authenticate(key)
	if organisation == nil {
		return authenticatedRequest{}, verdict.New(verdict.NotRun, verdict.CodeUnauthorized, "the key is not valid for this service")
	}
	return authenticatedRequest{requestID: id, doc: doc, organisation: organisation}, nil
}

func (c *CallerAPI) failRequest(w http.ResponseWriter, auth authenticatedRequest, err error) {
	fields := eventlog.Fields{RequestID: auth.requestID, Detail: err.Error()}
	if auth.doc != nil {
		fields.Service = auth.doc.Document.Service
	}
	event := eventlog.RequestFailed
	if verdict.Of(err) == verdict.NotRun {
		event = eventlog.RequestRefused
	}
	c.Log.Emit(event, fields)
	WriteError(w, err)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	var b bytes.Buffer
	if err := json.NewEncoder(&b).Encode(v); err != nil {
		WriteError(w, err)
		return
	}
	setWriteDeadline(w, b.Len())
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b.Bytes())
}
