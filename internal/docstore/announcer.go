package docstore

import (
	"time"

	"github.com/verbenabend/verbenabend/internal/gossip"
	"github.com/verbenabend/verbenabend/internal/servicedoc"
)

// announcementTTL is how long peers keep an announcement. It is long because
// documents do not expire, and there is only one fact per service.
const announcementTTL = 30 * 24 * time.Hour

// bodyMarker is the first byte of an announcement that contains the document.
const bodyMarker = 'B'

// Announcer announces the documents in force to peers by gossip.
type Announcer struct{ bus gossip.Bus }

// NewAnnouncer returns an Announcer that publishes on bus.
func NewAnnouncer(bus gossip.Bus) *Announcer { return &Announcer{bus: bus} }

// Announce publishes a document in force, unless its revision or a greater one
// is already published. A body that does not fit into a fact is left out; peers
// fetch it from the object store.
func (n *Announcer) Announce(a *servicedoc.Accepted) {
	for _, f := range n.bus.Facts(gossip.KindDocument) {
		if f.ID == a.Document.Service && f.Version >= uint64(a.Revision) {
			return
		}
	}
	n.bus.Publish(gossip.Fact{
		Kind: gossip.KindDocument, ID: a.Document.Service, Version: uint64(a.Revision), TTL: announcementTTL, Value: encodeAnnouncement(a.Body),
	})
}

func (n *Announcer) subscribe(fn func(service string, rev servicedoc.Revision, body []byte)) {
	n.bus.Subscribe(gossip.KindDocument, func(f gossip.Fact) {
		if servicedoc.ValidName(f.ID) && f.Version > 0 {
			fn(f.ID, servicedoc.Revision(f.Version), decodeAnnouncement(f.Value))
		}
	})
}

func encodeAnnouncement(body []byte) []byte {
	if len(body) >= gossip.MaxValueBytes {
		return nil
	}
	return append([]byte{bodyMarker}, body...)
}

// decodeAnnouncement returns the document in an announcement, or nil.
func decodeAnnouncement(value []byte) []byte {
	if len(value) < 2 || value[0] != bodyMarker {
		return nil
	}
	return value[1:]
}
