package gateway

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/verbenabend/verbenabend/internal/forward"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

// ExplainPath is the path of explanations on the metrics listener.
const ExplainPath = "/explain"

// maxExplainBytes limits the description of a request to explain.
const maxExplainBytes = 64 << 10

// ExplainRequest describes a request to explain, as a caller would send it.
type ExplainRequest struct {
	Host   string            `json:"host"`
	Path   string            `json:"path"`
	Header map[string]string `json:"header"`
}

// ExplainResponse says where the request would go now.
type ExplainResponse struct {
	Daemon       string `json:"daemon"`
	Revision     uint64 `json:"revision,omitempty"`
	Route        string `json:"route,omitempty"`
	Organisation string `json:"organisation,omitempty"`
	Quota        *Quota `json:"quota,omitempty"`
	Service      string `json:"service,omitempty"`
	// Software is the software version at which a resumed stream has to go on.
	Software    string  `json:"software,omitempty"`
	TimeLimitMs float64 `json:"time_limit_ms,omitempty"`
	Priority    int     `json:"priority"`
	// Upstream is empty if the request would wait or be refused.
	Upstream   string             `json:"upstream,omitempty"`
	FetchFrom  string             `json:"fetch_from,omitempty"`
	WaitsFor   bool               `json:"waits_for_a_better_upstream,omitempty"`
	Candidates []ExplainCandidate `json:"candidates,omitempty"`
	// State is that of the daemon, in words.
	State   string          `json:"state,omitempty"`
	Refusal *ExplainRefusal `json:"refusal,omitempty"`
}

// Quota is an organisation's quota, in tokens or requests.
type Quota struct {
	PerSecond float64 `json:"per_second"`
	Burst     float64 `json:"burst"`
	Unit      string  `json:"unit"`
	Cost      float64 `json:"cost"`
	HeldHere  float64 `json:"held_here"`
	CountedBy string  `json:"counted_by,omitempty"`
}

// ExplainCandidate is an upstream that was considered.
type ExplainCandidate struct {
	Upstream   string `json:"upstream"`
	DataCentre string `json:"data_centre"`
	Excluded   string `json:"excluded,omitempty"`
	Room       bool   `json:"room"`
	// Reasons is in words, as in the log; CostMs is what candidates are compared by.
	Reasons string  `json:"reasons,omitempty"`
	CostMs  float64 `json:"cost_ms,omitempty"`
}

// ExplainRefusal is what the caller would be told.
type ExplainRefusal struct {
	Code         verdict.Code `json:"code"`
	Message      string       `json:"message,omitempty"`
	RetryAfterMs float64      `json:"retry_after_ms,omitempty"`
}

// serveExplain answers with the decision on a request, which is not sent.
func (d *Daemon) serveExplain(w http.ResponseWriter, r *http.Request) {
	var q ExplainRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxExplainBytes)).Decode(&q); err != nil {
		http.Error(w, "decode the request to explain: "+err.Error(), http.StatusBadRequest)
		return
	}
	described := (&http.Request{Method: http.MethodPost, Host: q.Host, RequestURI: q.Path, Header: http.Header{}}).WithContext(r.Context())
	for name, value := range q.Header {
		described.Header.Set(name, value)
	}
	out := ExplainResponse{Daemon: d.settings.Name}
	x, err := d.forwarder.Explain(described)
	if err != nil {
		out.Refusal = &ExplainRefusal{Code: verdict.CodeInternal, Message: err.Error()}
		if e, ok := verdict.As(err); ok {
			out.Refusal.Code, out.Refusal.RetryAfterMs = e.Code, milliseconds(e.RetryAfter)
		}
	} else {
		out.describe(x)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out) // fails only if the operator disconnected
}

func (out *ExplainResponse) describe(x *forward.Explanation) {
	out.Revision, out.Route, out.Organisation, out.Service = x.Revision, x.Route, x.Organisation, x.Service
	out.Software = x.Software
	out.TimeLimitMs, out.Priority = milliseconds(x.TimeLimit), x.Priority
	if x.Allowance.Limited() {
		out.Quota = &Quota{PerSecond: x.Allowance.PerSecond, Burst: x.Allowance.Burst, Unit: "requests", Cost: x.Cost, HeldHere: x.AllowanceHeld, CountedBy: x.AllowanceOwner}
		if x.Allowance.InTokens {
			out.Quota.Unit = "tokens"
		}
	}
	s := &x.Scheduling
	out.Upstream, out.FetchFrom, out.WaitsFor, out.State = s.Endpoint, s.Source, s.WaitsFor, s.State.String()
	for _, c := range s.Candidates {
		e := ExplainCandidate{Upstream: c.Endpoint, DataCentre: c.DataCentre, Excluded: c.Excluded, Room: c.Room}
		if c.Excluded == "" {
			e.Reasons, e.CostMs = c.Reasons.String(), milliseconds(c.Reasons.Cost)
		}
		out.Candidates = append(out.Candidates, e)
	}
	if s.Refusal != "" {
		out.Refusal = &ExplainRefusal{Code: s.Refusal, Message: "no upstream can accept the request in time", RetryAfterMs: milliseconds(s.RetryAfter)}
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
