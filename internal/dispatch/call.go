package dispatch

import (
	"context"
	"slices"

	"github.com/verbenabend/verbenabend/internal/prefix"
	"github.com/verbenabend/verbenabend/internal/upstream"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

// Call sends a request to a plain service and returns the reply and the address
// of the upstream that gave it. A call that is not repeatable is retried only
// if the failed attempt is known not to have run. Errors carry a verdict that
// covers all attempts.
func (d *Dispatcher) Call(ctx context.Context, req *CallRequest) (*upstream.Reply, string, error) {
	priorVerdict := verdict.NotRun
	var lastErr error = verdict.New(verdict.NotRun, verdict.CodeNoUpstream, "no upstream of service "+req.Service.Document.Service+" is available")
	for _, address := range d.callTargets(req) {
		reply, err := d.cfg.Services.Do(ctx, address, &req.Call)
		if err == nil {
			return reply, address, nil
		}
		lastErr = withPriorVerdict(err, priorVerdict)
		priorVerdict = verdict.Of(lastErr)
		if ctx.Err() != nil {
			break
		}
		d.cfg.OnUpstreamFailure(address)
		if verdict.Of(err) != verdict.NotRun && !req.Repeatable {
			break
		}
	}
	return nil, "", lastErr
}

// callTargets returns the addresses of the upstreams to try, ordered by
// rendezvous hashing of the request id.
func (d *Dispatcher) callTargets(req *CallRequest) []string {
	doc := &req.Service.Document
	var addresses []string
	var hashes []uint64
	for _, u := range d.cfg.Fleet.Snapshot().ByService[doc.Service] {
		if u.Serves("") && dataCentreAllowed(doc.DataCentres, u.DataCentre) {
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

// dataCentreAllowed reports whether dc is among a document's data centres; an
// empty list allows all.
func dataCentreAllowed(dataCentres []string, dc string) bool {
	return len(dataCentres) == 0 || slices.Contains(dataCentres, dc)
}
