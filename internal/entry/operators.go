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

// OperatorAPI configures the HTTP handler for operators.
type OperatorAPI struct {
	Documents Documents
	Log       *eventlog.Log
	// Key is the bearer key that operators must send.
	Key string
	// Status returns the daemon's view of the system.
	Status func() Status
	// WriteMetrics writes all metrics in the Prometheus text exposition format.
	WriteMetrics func(w io.Writer)
}

// Status is the response to GET /v1/status.
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

// PeerStatusOf returns the status of all members but the one named self.
func PeerStatusOf(members []membership.Member, self string) []PeerStatus {
	out := []PeerStatus{}
	for _, m := range members {
		if m.Name != self {
			out = append(out, PeerStatus{m.Name, m.DataCentre, m.CallerAddress, m.Draining})
		}
	}
	return out
}

// Accepted is the response to a document that was accepted or read.
type Accepted struct {
	Service  string              `json:"service"`
	Revision servicedoc.Revision `json:"revision"`
	Document json.RawMessage     `json:"document,omitempty"`
}

// Rejection is the response to a document that was not accepted.
type Rejection struct {
	Error ErrorDetail `json:"error"`
	// Faults lists everything wrong with the document.
	Faults []strictjson.Fault `json:"faults,omitempty"`
	// InForce is the revision in force after a conflict.
	InForce *servicedoc.Revision `json:"in_force,omitempty"`
}

// Timeline is the response to GET /v1/timeline.
type Timeline struct {
	Daemon string           `json:"daemon"`
	Events []eventlog.Entry `json:"events"`
}

const maxDocumentBytes = 1 << 20

// Handler returns the HTTP handler for operators. All paths but the health
// checks and the metrics require Key.
func (o *OperatorAPI) Handler() http.Handler {
	authenticated := http.NewServeMux()
	authenticated.HandleFunc("PUT /v1/documents/{service}", o.submitDocument)
	authenticated.HandleFunc("GET /v1/documents/{service}", o.showDocument)
	authenticated.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, o.Status()) })
	authenticated.HandleFunc("GET /v1/timeline", o.serveTimeline)
	authenticated.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		WriteError(w, verdict.New(verdict.NotRun, verdict.CodeNotFound, "no such path"))
	})
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", o.serveReadiness)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { o.WriteMetrics(w) })
	mux.Handle("/", o.requireOperatorKey(authenticated))
	return mux
}

func (o *OperatorAPI) requireOperatorKey(next http.Handler) http.Handler {
	want := sha256.Sum256([]byte(o.Key))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		got := sha256.Sum256([]byte(key))
		if subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
			WriteError(w, verdict.New(verdict.NotRun, verdict.CodeUnauthorized, "the operators' key is required as a bearer key"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (o *OperatorAPI) serveReadiness(w http.ResponseWriter, _ *http.Request) {
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

func (o *OperatorAPI) submitDocument(w http.ResponseWriter, r *http.Request) {
	service := r.PathValue("service")
	baseRevision, err := strconv.ParseUint(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	if err != nil {
		WriteError(w, verdict.New(verdict.NotRun, verdict.CodeBadRequest, `If-Match must hold the number of the revision to replace, "0" for a service's first document`))
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
		accepted, err = o.Documents.Submit(r.Context(), body, servicedoc.Revision(baseRevision))
	}
	if err != nil {
		writeRejection(w, err)
		return
	}
	writeJSON(w, http.StatusOK, Accepted{Service: service, Revision: accepted.Revision})
}

func writeRejection(w http.ResponseWriter, err error) {
	var faults strictjson.Faults
	var conflict *docstore.ConflictError
	switch {
	case errors.As(err, &faults):
		body, _ := errorBody(verdict.New(verdict.NotRun, verdict.CodeBadRequest, "the document is not valid; its faults are listed"))
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

func (o *OperatorAPI) showDocument(w http.ResponseWriter, r *http.Request) {
	a := o.Documents.Get(r.PathValue("service"))
	if a == nil {
		WriteError(w, verdict.New(verdict.NotRun, verdict.CodeNotFound, "no document of this service is in force"))
		return
	}
	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(uint64(a.Revision), 10)))
	writeJSON(w, http.StatusOK, Accepted{Service: a.Document.Service, Revision: a.Revision, Document: a.Body})
}

func (o *OperatorAPI) serveTimeline(w http.ResponseWriter, r *http.Request) {
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

// DocumentStatusOf returns the status of documents, ordered by service.
func DocumentStatusOf(documents map[string]*servicedoc.Accepted) []DocumentStatus {
	out := []DocumentStatus{}
	for _, service := range slices.Sorted(maps.Keys(documents)) {
		out = append(out, DocumentStatus{Service: service, Revision: documents[service].Revision})
	}
	return out
}
