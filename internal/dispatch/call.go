package dispatch

import (
	"context"
	"slices"

	"github.com/verbenabend/verbenabend/internal/prefix"
	"github.com/verbenabend/verbenabend/internal/upstream"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

// Call serves a request to a plain service. A call that is not repeatable is
// sent again only after an attempt that certainly did not run.
func (d *Dispatcher) Call(ctx context.Context, req *CallRequest) (*upstream.Reply, string, error) {
	service := req.Service.Document.Service
	var last error
	var hashes []uint64
	serving := d.servingUpstreams(req)
	for _, u := range serving {
		hashes = append(hashes, u.hash)
	}
	order := prefix.TopScores(nil, prefix.NodeHash(req.Call.RequestID), hashes, maxAttempts)
	for _, i := range order {
		address := serving[i].address
		reply, err := d.cfg.Services.Do(ctx, address, &req.Call)
		if err == nil {
			return reply, address, nil
		}
		d.cfg.EngineDown(address)
		if last == nil || verdict.Of(last) == verdict.NotRun {
			last = err
		}
		if ctx.Err() != nil || (verdict.Of(err) != verdict.NotRun && !req.Repeatable) {
			break
		}
	}
	if last == nil {
		return nil, "", verdict.New(verdict.NotRun, verdict.CodeNoUpstream, "no upstream of "+service+" serves now")
	}
	return nil, "", last
}

type target struct {
	address string
	hash    uint64
}

func (d *Dispatcher) servingUpstreams(req *CallRequest) []target {
	var out []target
	doc := req.Service.Document
	for _, u := range d.cfg.Fleet.Snapshot().ByService[doc.Service] {
		if u.Serves("") && allowed(doc.DataCentres, u.DataCentre) {
			out = append(out, target{u.Address, u.Hash})
		}
	}
	return out
}

// allowed reports whether a document's data centres include dc; none listed means all.
func allowed(dataCentres []string, dc string) bool {
	return len(dataCentres) == 0 || slices.Contains(dataCentres, dc)
}
