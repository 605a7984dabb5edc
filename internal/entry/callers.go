// Package entry is the HTTP face of a daemon: one handler for callers and one
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

// Documents gives the documents in force.
type Documents interface {
	// Get returns a service's document in force, or nil.
	Get(service string) *servicedoc.Accepted
	// Snapshot returns every document in force by service; it must not be changed.
	Snapshot() map[string]*servicedoc.Accepted
	// Submit accepts body as the revision that follows based. Errors:
	// strictjson.Faults, *docstore.ConflictError, or a verdict.Error.
	Submit(ctx context.Context, body []byte, based servicedoc.Revision) (*servicedoc.Accepted, error)
}

// Dispatcher carries out requests.
type Dispatcher interface {
	Generate(ctx context.Context, req *dispatch.ModelRequest, sink dispatch.Sink) error
	Resume(ctx context.Context, req *dispatch.ModelRequest, p resume.Position, sink dispatch.Sink) error
	Call(ctx context.Context, req *dispatch.CallRequest) (*upstream.Reply, string, error)
}

// Callers configures the handler for callers.
type Callers struct {
	Documents  Documents
	Dispatcher Dispatcher
	Members    *membership.Members
	Keys       *resume.Keys
	Log        *eventlog.Log
	// Delay gives the one-way delay between two data centres.
	Delay func(from, to string) time.Duration
	// EntryMaxAge is how long callers may keep an answer of /v1/entries.
	EntryMaxAge time.Duration

	bodies bodies
}

// Headers of callers.
const (
	HeaderClass          = "Verbenabend-Class"
	HeaderDeadline       = "Verbenabend-Deadline-Ms"
	HeaderRequestID      = "Verbenabend-Request-Id"
	HeaderUpstream       = "Verbenabend-Upstream"
	HeaderReplayed       = "Verbenabend-Replayed"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderLastEventID    = "Last-Event-ID"
)

// maxIdempotencyKeyBytes bounds an idempotency key.
const maxIdempotencyKeyBytes = 255

// Handler returns the handler for callers.
func (c *Callers) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/entries", c.entries)
	mux.HandleFunc("POST /services/{service}/v1/chat/completions", c.chat)
	mux.HandleFunc("POST /services/{service}/v1/completions", c.completion)
	mux.HandleFunc("/services/{service}/http/{path...}", c.call)
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		WriteError(w, verdict.New(verdict.NotRun, verdict.CodeNotFound, "no such path"))
	})
	return plainPaths(mux)
}

// Entries is the answer to GET /v1/entries.
type Entries struct {
	Entries  []Entry `json:"entries"`
	MaxAgeMS int64   `json:"max_age_ms"`
}

// Entry is one address that a caller may use.
type Entry struct {
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
}

func (c *Callers) entries(w http.ResponseWriter, r *http.Request) {
	out := Entries{Entries: []Entry{}, MaxAgeMS: c.EntryMaxAge.Milliseconds()}
	for _, m := range c.Members.Entries(r.URL.Query().Get("data_centre"), c.Delay) {
		out.Entries = append(out.Entries, Entry{Address: m.CallerAddress, DataCentre: m.DataCentre})
	}
	writeJSON(w, http.StatusOK, out)
}

// caller is an authenticated request.
type caller struct {
	id           string
	doc          *servicedoc.Accepted
	organisation *servicedoc.Organisation
}

// receive authenticates a request and reads its body. release frees the room
// that the body takes.
func (c *Callers) receive(w http.ResponseWriter, r *http.Request, kind servicedoc.Kind) (who caller, body []byte, release func(), err error) {
	who, err = c.authenticate(w, r, kind)
	if err != nil {
		return who, nil, nil, err
	}
	body, release, err = c.bodies.read(w, r, who.doc.Document.Limits.MaxBodyBytes)
	return who, body, release, err
}

func (c *Callers) authenticate(w http.ResponseWriter, r *http.Request, kind servicedoc.Kind) (caller, error) {
	id := rand.Text()
	w.Header().Set(HeaderRequestID, id)
	doc := c.Documents.Get(r.PathValue("service"))
	if doc == nil || doc.Document.Kind != kind {
		return caller{}, verdict.New(verdict.NotRun, verdict.CodeNotFound, "no such service")
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return caller{}, verdict.New(verdict.NotRun, verdict.CodeUnauthorized, "a bearer key is required")
	}
	organisation := doc.Authenticate(key)
	if organisation == nil {
		return caller{}, verdict.New(verdict.NotRun, verdict.CodeUnauthorized, "the key does not open this service")
	}
	return caller{id: id, doc: doc, organisation: organisation}, nil
}

func (c *Callers) fail(w http.ResponseWriter, who caller, err error) {
	fields := eventlog.Fields{RequestID: who.id, Detail: err.Error()}
	if who.doc != nil {
		fields.Service = who.doc.Document.Service
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
	boundWrite(w, b.Len())
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b.Bytes())
}
