package dispatch

import (
	"context"
	"slices"

	"github.com/verbenabend/verbenabend/internal/prefix"
	"github.com/verbenabend/verbenabend/internal/upstream"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

// Call serves a request to a plain service and returns the reply and the
// upstream that gave it. A call that is not repeatable is sent again only
// after an attempt that certainly did not run. Errors carry a verdict that
// covers all attempts.
func (d *Dispatcher) Call(ctx context.Context, req *CallRequest) (*upstream.Reply, string, error) {
	earlier := verdict.NotRun
	var last error = verdict.New(verdict.NotRun, verdict.CodeNoUpstream, "no upstream of "+req.Service.Document.Service+" serves now")
	for _, address := range d.callTargets(req) {
		reply, err := d.cfg.Services.Do(ctx, address, &req.Call)
		if err == nil {
			return reply, address, nil
		}
		last = withEarlier(err, earlier)
		earlier = verdict.Of(last)
		if ctx.Err() != nil {
			break
		}
		d.cfg.EngineDown(address)
		if verdict.Of(err) != verdict.NotRun && !req.Repeatable {
			break
		}
	}
	return nil, "", last
}

// callTargets returns the upstreams to try, in rendezvous order of the request.
func (d *Dispatcher) callTargets(req *CallRequest) []string {
	doc := &req.Service.Document
	var addresses []string
	var hashes []uint64
	for _, u := range d.cfg.Fleet.Snapshot().ByService[doc.Service] {
		if u.Serves("") && allowed(doc.DataCentres, u.DataCentre) {
			addresses = append(addresses, u.Address)
			hashes = append(hashes, u.Hash)
		}
	}
	var out []string
	for _, i := range prefix.TopScores(nil, prefix.NodeHash(req.Call.RequestID), hashes, maxAttempts) {
		out = append(out, addresses[i])
	}
	return out
}

// allowed reports whether a document's data centres include dc; none listed means all.
func allowed(dataCentres []string, dc string) bool {
	return len(dataCentres) == 0 || slices.Contains(dataCentres, dc)
}
