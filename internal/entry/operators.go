package entry

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/docstore"
	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/membership"
	"github.com/verbenabend/verbenabend/internal/servicedoc"
	"github.com/verbenabend/verbenabend/internal/strictjson"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

// Operators configures the handler for operators.
type Operators struct {
	Documents Documents
	Log       *eventlog.Log
	// Key is the bearer key of operators.
	Key string
	// Status gives the daemon's view of the system.
	Status func() Status
	// WriteMetrics writes all metrics in the Prometheus text format.
	WriteMetrics func(w io.Writer)
}

// Status is the answer to GET /v1/status.
type Status struct {
	Daemon     string           `json:"daemon"`
	DataCentre string           `json:"data_centre"`
	Ready      bool             `json:"ready"`
	NotReady   []string         `json:"not_ready,omitempty"`
	Draining   bool             `json:"draining"`
	Isolated   bool             `json:"isolated"`
	PlatformUp bool             `json:"platform_up"`
	Peers      []PeerStatus     `json:"peers"`
	Documents  []DocumentStatus `json:"documents"`
	Upstreams  []UpstreamStatus `json:"upstreams"`
	InFlight   int64            `json:"in_flight"`
}

// PeerStatus describes another daemon.
type PeerStatus struct {
	Name          string `json:"name"`
	DataCentre    string `json:"data_centre"`
	CallerAddress string `json:"caller_address"`
	Draining      bool   `json:"draining"`
}

// DocumentStatus names a document in force.
type DocumentStatus struct {
	Service  string              `json:"service"`
	Revision servicedoc.Revision `json:"revision"`
}

// UpstreamStatus describes an upstream.
type UpstreamStatus struct {
	Address     string   `json:"address"`
	Service     string   `json:"service"`
	DataCentre  string   `json:"data_centre"`
	State       string   `json:"state"`
	Incarnation string   `json:"incarnation,omitempty"`
	Weights     []string `json:"weights,omitempty"`
	Running     int      `json:"running"`
	Queued      int      `json:"queued"`
}

// PeerStatusOf converts members, leaving out the one named self.
func PeerStatusOf(members []membership.Member, self string) []PeerStatus {
	out := []PeerStatus{}
	for _, m := range members {
		if m.Name != self {
			out = append(out, PeerStatus{m.Name, m.DataCentre, m.CallerAddress, m.Draining})
		}
	}
	return out
}

// Accepted is the answer to an accepted or shown document.
type Accepted struct {
	Service  string              `json:"service"`
	Revision servicedoc.Revision `json:"revision"`
	Document json.RawMessage     `json:"document,omitempty"`
}

// Rejection is the answer to a document that was not accepted.
type Rejection struct {
	Error ErrorDetail `json:"error"`
	// Faults lists everything wrong with the document.
	Faults []strictjson.Fault `json:"faults,omitempty"`
	// InForce is the revision in force after a conflict.
	InForce *servicedoc.Revision `json:"in_force,omitempty"`
}

// Timeline is the answer to GET /v1/timeline.
type Timeline struct {
	Daemon string           `json:"daemon"`
	Events []eventlog.Entry `json:"events"`
}

// maxDocumentBytes bounds a submitted document.
const maxDocumentBytes = 1 << 20

// Handler returns the handler for operators. All calls but the health checks
// and the metrics need the operators' key.
func (o *Operators) Handler() http.Handler {
	private := http.NewServeMux()
	private.HandleFunc("PUT /v1/documents/{service}", o.submit)
	private.HandleFunc("GET /v1/documents/{service}", o.show)
	private.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, o.Status()) })
	private.HandleFunc("GET /v1/timeline", o.timeline)
	private.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		WriteError(w, verdict.New(verdict.NotRun, verdict.CodeNotFound, "no such path"))
	})
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", o.ready)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { o.WriteMetrics(w) })
	mux.Handle("/", o.authenticated(private))
	return mux
}

func (o *Operators) authenticated(next http.Handler) http.Handler {
	want := sha256.Sum256([]byte(o.Key))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		got := sha256.Sum256([]byte(key))
		if subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
			WriteError(w, verdict.New(verdict.NotRun, verdict.CodeUnauthorized, "the operators' key is required"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (o *Operators) ready(w http.ResponseWriter, _ *http.Request) {
	s := o.Status()
	if s.Ready {
		_, _ = w.Write([]byte("ready\n"))
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
	for _, reason := range s.NotReady {
		_, _ = w.Write([]byte(reason + "\n"))
	}
}

func (o *Operators) submit(w http.ResponseWriter, r *http.Request) {
	service := r.PathValue("service")
	based, err := strconv.ParseUint(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	if err != nil {
		WriteError(w, verdict.New(verdict.NotRun, verdict.CodeBadRequest, `If-Match must name the revision that is replaced, "0" for the first`))
		return
	}
	body, err := readBody(w, r, maxDocumentBytes)
	if err != nil {
		WriteError(w, err)
		return
	}
	doc, err := servicedoc.Parse(body)
	if err == nil && doc.Service != service {
		err = strictjson.Faults{{Path: "$.service", Message: strconv.Quote(doc.Service) + " is not the service submitted to, " + strconv.Quote(service)}}
	}
	var accepted *servicedoc.Accepted
	if err == nil {
		accepted, err = o.Documents.Submit(r.Context(), body, servicedoc.Revision(based))
	}
	if err != nil {
		rejectDocument(w, err)
		return
	}
	writeJSON(w, http.StatusOK, Accepted{Service: service, Revision: accepted.Revision})
}

func rejectDocument(w http.ResponseWriter, err error) {
	var faults strictjson.Faults
	var conflict *docstore.ConflictError
	switch {
	case errors.As(err, &faults):
		body, _ := errorBody(verdict.New(verdict.NotRun, verdict.CodeBadRequest, "the document has faults"))
		w.Header().Set(HeaderVerdict, body.Error.Verdict)
		writeJSON(w, http.StatusUnprocessableEntity, Rejection{Error: body.Error, Faults: faults})
	case errors.As(err, &conflict):
		body, _ := errorBody(verdict.New(verdict.NotRun, verdict.CodeConflict, conflict.Error()))
		w.Header().Set(HeaderVerdict, body.Error.Verdict)
		writeJSON(w, http.StatusConflict, Rejection{Error: body.Error, InForce: &conflict.InForce})
	default:
		body, _ := errorBody(err)
		w.Header().Set(HeaderVerdict, body.Error.Verdict)
		writeJSON(w, http.StatusServiceUnavailable, Rejection{Error: body.Error})
	}
}

func (o *Operators) show(w http.ResponseWriter, r *http.Request) {
	a := o.Documents.Get(r.PathValue("service"))
	if a == nil {
		WriteError(w, verdict.New(verdict.NotRun, verdict.CodeNotFound, "no document of this service is in force"))
		return
	}
	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(uint64(a.Revision), 10)))
	writeJSON(w, http.StatusOK, Accepted{Service: a.Document.Service, Revision: a.Revision, Document: a.Body})
}

func (o *Operators) timeline(w http.ResponseWriter, r *http.Request) {
	since := eventlog.Timestamp{}
	if text := r.URL.Query().Get("since"); text != "" {
		t, err := time.Parse(time.RFC3339Nano, text)
		if err != nil {
			WriteError(w, verdict.New(verdict.NotRun, verdict.CodeBadRequest, "since must be a time such as 2026-01-02T15:04:05Z"))
			return
		}
		since.Micros = t.UnixMicro()
	}
	events := o.Log.Since(since)
	if events == nil {
		events = []eventlog.Entry{}
	}
	writeJSON(w, http.StatusOK, Timeline{Daemon: o.Status().Daemon, Events: events})
}

// DocumentStatusOf lists documents ordered by service.
func DocumentStatusOf(documents map[string]*servicedoc.Accepted) []DocumentStatus {
	out := []DocumentStatus{}
	for _, service := range slices.Sorted(maps.Keys(documents)) {
		out = append(out, DocumentStatus{Service: service, Revision: documents[service].Revision})
	}
	return out
}
