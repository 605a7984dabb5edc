package docstore

import (
	"time"

	"github.com/verbenabend/verbenabend/internal/gossip"
	"github.com/verbenabend/verbenabend/internal/servicedoc"
)

// factTTL is how long a document's announcement is kept by peers. It is long
// because documents do not expire; there is one fact a service.
const factTTL = 30 * 24 * time.Hour

// factBody is the first byte of an announcement that carries the document.
const factBody = 'B'

// Announcer tells peers which documents are in force.
type Announcer struct{ board gossip.Board }

// NewAnnouncer returns an Announcer over the daemon's gossip.
func NewAnnouncer(board gossip.Board) *Announcer { return &Announcer{board: board} }

// Announce publishes a document in force, unless a peer did so before. Bodies
// that do not fit a fact are left out; peers fetch them.
func (n *Announcer) Announce(a *servicedoc.Accepted) {
	for _, f := range n.board.Facts(gossip.KindDocument) {
		if f.ID == a.Document.Service && f.Version >= uint64(a.Revision) {
			return
		}
	}
	n.board.Publish(gossip.Fact{
		Kind: gossip.KindDocument, ID: a.Document.Service, Version: uint64(a.Revision), TTL: factTTL, Value: encodeFact(a.Body),
	})
}

func (n *Announcer) subscribe(fn func(service string, rev servicedoc.Revision, body []byte)) {
	n.board.Subscribe(gossip.KindDocument, func(f gossip.Fact) {
		if servicedoc.ValidName(f.ID) && f.Version > 0 {
			fn(f.ID, servicedoc.Revision(f.Version), decodeFact(f.Value))
		}
	})
}

func encodeFact(body []byte) []byte {
	if len(body) >= gossip.MaxValueBytes {
		return nil
	}
	return append([]byte{factBody}, body...)
}

// decodeFact returns the document in an announcement, nil when there is none.
func decodeFact(value []byte) []byte {
	if len(value) < 2 || value[0] != factBody {
		return nil
	}
	return value[1:]
}
