package entry

import (
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/verbenabend/verbenabend/internal/dispatch"
	"github.com/verbenabend/verbenabend/internal/servicedoc"
	"github.com/verbenabend/verbenabend/internal/upstream"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

// hopHeaders concern one connection only, or the system itself, and are not passed on.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true, "Proxy-Connection": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Authorization": true, "Content-Length": true, "Expect": true, "Idempotency-Key": true,
}

func (c *Callers) call(w http.ResponseWriter, r *http.Request) {
	who, body, release, err := c.receive(w, r, servicedoc.KindPlain)
	if err != nil {
		c.fail(w, who, err)
		return
	}
	defer release()
	reply, err := c.doCall(r, who, body, w.Header())
	if err != nil {
		c.fail(w, who, err)
		return
	}
	copyHeader(w.Header(), reply.Header)
	if reply.Replayed {
		w.Header().Set(HeaderReplayed, "true")
	}
	boundWrite(w, len(reply.Body))
	w.WriteHeader(reply.Status)
	_, _ = w.Write(reply.Body)
}

func (c *Callers) doCall(r *http.Request, who caller, body []byte, out http.Header) (*upstream.Reply, error) {
	path := "/" + r.PathValue("path")
	rule := who.doc.Call(r.Method, path)
	key := r.Header.Get(HeaderIdempotencyKey)
	if len(key) > maxIdempotencyKeyBytes {
		return nil, verdict.New(verdict.NotRun, verdict.CodeBadRequest, HeaderIdempotencyKey+" is too long")
	}
	if !rule.Repeatable && key == "" {
		return nil, verdict.New(verdict.NotRun, verdict.CodeIdempotencyKey, "this call must not run twice: send "+HeaderIdempotencyKey)
	}
	target := (&url.URL{Path: path}).EscapedPath()
	if r.URL.RawQuery != "" {
		target += "?" + r.URL.RawQuery
	}
	header := http.Header{}
	copyHeader(header, r.Header)
	req := &dispatch.CallRequest{
		Service: who.doc, Organisation: who.organisation, Repeatable: rule.Repeatable,
		Call: upstream.Call{
			RequestID: who.id, Organisation: who.organisation.Name, Method: r.Method, Path: target,
			Header: header, Body: body, IdempotencyKey: key, Timeout: time.Duration(rule.Timeout),
		},
	}
	reply, address, err := c.Dispatcher.Call(r.Context(), req)
	if address != "" {
		out.Set(HeaderUpstream, address)
	}
	return reply, err
}

// copyHeader copies the headers that are for the other end, which are neither
// hop-by-hop nor named by Connection.
func copyHeader(to, from http.Header) {
	named := connectionHeaders(from)
	for name, values := range from {
		if !hopHeaders[name] && !named[name] && !strings.HasPrefix(name, "Verbenabend-") {
			to[name] = values
		}
	}
}

// connectionHeaders returns the headers that Connection says are hop-by-hop.
func connectionHeaders(h http.Header) map[string]bool {
	named := map[string]bool{}
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return named
}
