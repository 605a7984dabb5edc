package entry

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/verbenabend/verbenabend/internal/dispatch"
	"github.com/verbenabend/verbenabend/internal/httpverdict"
	"github.com/verbenabend/verbenabend/internal/servicedoc"
	"github.com/verbenabend/verbenabend/internal/upstream"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

// unforwardedHeaders are the hop-by-hop headers, and those that this daemon
// evaluates or sets itself.
var unforwardedHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true, "Proxy-Connection": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Authorization": true, "Content-Length": true, "Expect": true, "Idempotency-Key": true,
}

func (c *CallerAPI) serveCall(w http.ResponseWriter, r *http.Request) {
	auth, body, release, err := c.authenticateAndRead(w, r, servicedoc.KindPlain)
	if err != nil {
		c.failRequest(w, auth, err)
		return
	}
	defer release()
	reply, err := c.dispatchCall(r, auth, body, w.Header())
	if err != nil {
		c.failRequest(w, auth, err)
		return
	}
	copyForwardedHeaders(w.Header(), reply.Header)
	setWriteDeadline(w, len(reply.Body))
	w.WriteHeader(reply.Status)
	_, _ = w.Write(reply.Body)
}

func (c *CallerAPI) dispatchCall(r *http.Request, auth authenticatedRequest, body []byte, responseHeader http.Header) (*upstream.Reply, error) {
	path := "/" + r.PathValue("path")
	rule := auth.doc.CallRule(r.Method, path)
	key := r.Header.Get(HeaderIdempotencyKey)
	if len(key) > maxIdempotencyKeyBytes {
		return nil, verdict.New(verdict.NotRun, verdict.CodeBadRequest, HeaderIdempotencyKey+" is too long")
	}
	if !rule.Repeatable && key == "" {
		return nil, verdict.New(verdict.NotRun, verdict.CodeIdempotencyKeyRequired, "this call is not repeatable and needs the header "+HeaderIdempotencyKey)
	}
	target := (&url.URL{Path: path}).EscapedPath()
	if r.URL.RawQuery != "" {
		target += "?" + r.URL.RawQuery
	}
	header := http.Header{}
	copyForwardedHeaders(header, r.Header)
	req := &dispatch.CallRequest{
		Service: auth.doc, Organisation: auth.organisation, Repeatable: rule.Repeatable,
		Call: upstream.Call{
			RequestID: auth.requestID, Organisation: auth.organisation.Name, Method: r.Method, Path: target,
			Header: header, Body: body, IdempotencyKey: key, Timeout: time.Duration(rule.Timeout),
		},
	}
	reply, address, err := c.Dispatcher.Call(r.Context(), req)
	if address != "" {
		responseHeader.Set(HeaderUpstream, address)
	}
	if err != nil {
		return nil, err
	}
	if reply.Replayed {
		responseHeader.Set(HeaderReplayed, "true")
	}
	if !rule.Repeatable && httpverdict.PromisesNotRun(reply.Status) {
		// Callers would make the call again.
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeUpstreamFailed, "the service answered with status "+strconv.Itoa(reply.Status)+" and may have run the call")
	}
	return reply, nil
}

// copyForwardedHeaders copies the end-to-end headers: those that are neither in
// unforwardedHeaders nor named by Connection, nor Verbenabend's own.
func copyForwardedHeaders(dst, src http.Header) {
	hopByHop := connectionHeaders(src)
	for name, values := range src {
		if !unforwardedHeaders[name] && !hopByHop[name] && !strings.HasPrefix(name, "Verbenabend-") {
			dst[name] = values
		}
	}
}

// connectionHeaders returns the names that the Connection header lists as hop-by-hop.
func connectionHeaders(h http.Header) map[string]bool {
	hopByHop := map[string]bool{}
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			hopByHop[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return hopByHop
}
