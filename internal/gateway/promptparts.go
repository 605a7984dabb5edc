package gateway

import (
	"github.com/verbenabend/verbenabend/internal/forward"
	"github.com/verbenabend/verbenabend/internal/suspects"
)

// promptPartTracker adapts the daemons' shared knowledge of prompt parts to the
// forwarder.
type promptPartTracker struct{ *suspects.Parts }

var _ forward.PromptPartTracker = promptPartTracker{}

// Key implements forward.PromptPartTracker.
func (promptPartTracker) Key(service, model, owner, id string) string {
	return suspects.PartKey(service, model, owner, id)
}

// UpstreamCrashed implements forward.PromptPartTracker.
func (t promptPartTracker) UpstreamCrashed(service, upstream, incarnation string, requests []forward.RunningRequest) {
	unbegun := make([]suspects.UnbegunRequest, len(requests))
	for i, r := range requests {
		unbegun[i] = suspects.UnbegunRequest{ID: r.Fingerprint + "\x00" + r.OwnPart, Parts: r.SharedParts, Organisation: r.Organisation, SentAt: r.SentAt, BrokenAt: r.BrokenAt}
	}
	t.Parts.EngineCrashed(service, upstream, incarnation, unbegun)
}
