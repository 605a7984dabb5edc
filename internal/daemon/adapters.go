package daemon

import (
	"context"

	"github.com/verbenabend/verbenabend/internal/dispatch"
	"github.com/verbenabend/verbenabend/internal/docstore"
	"github.com/verbenabend/verbenabend/internal/once"
	"github.com/verbenabend/verbenabend/internal/upstream"
)

// documents implements entry.Documents.
type documents struct {
	*docstore.Catalogue
	*docstore.Store
}

// atMostOnce wraps a dispatcher so that a call that is not repeatable runs at
// most once per idempotency key.
type atMostOnce struct {
	*dispatch.Dispatcher
	records *once.Records
}

// Call implements entry.Dispatcher.
func (a atMostOnce) Call(ctx context.Context, req *dispatch.CallRequest) (*upstream.Reply, string, error) {
	if req.Repeatable {
		return a.Dispatcher.Call(ctx, req)
	}
	var address string
	key := once.Key{Organisation: req.Organisation.Name, Service: req.Service.Document.Service, IdempotencyKey: req.Call.IdempotencyKey}
	// The call continues when its caller disconnects, since its outcome must be recorded.
	ctx = context.WithoutCancel(ctx)
	reply, replayed, err := a.records.Do(ctx, key, once.FingerprintOf(&req.Call), func(ctx context.Context) (*upstream.Reply, error) {
		reply, at, err := a.Dispatcher.Call(ctx, req)
		address = at
		return reply, err
	})
	if replayed {
		again := *reply
		again.Replayed = true
		reply = &again
	}
	return reply, address, err
}
