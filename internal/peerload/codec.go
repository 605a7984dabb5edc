// Package peerload encodes what daemons tell one another of their load at the
// engines of a service. Names travel as short hashes: both ends know the
// engines, and a figure that can't be matched is left out.
package peerload

import (
	"bytes"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/verbenabend/verbenabend/internal/prefix"
	"github.com/verbenabend/verbenabend/internal/routing"
)

// Bounds on a message, checked before anything is allocated for it.
const (
	maxEngines       = 4096
	maxOrganisations = 10_000
	maxHeld          = 1024
	hashBytes        = 8
	engineFields     = 7
	percent          = 100
	maxSlowdown      = 1000
)

// ErrMalformed reports a message that no daemon of this version sends.
var ErrMalformed = errors.New("malformed load figures")

// Engines finds an engine by the short hash of its address.
type Engines interface {
	// Engine returns the address and the present incarnation of an engine.
	Engine(hash uint32) (address, incarnation string, ok bool)
}

// Hash returns the short hash of a name.
func Hash(name string) uint32 { return uint32(prefix.NodeHash(name)) }

// Encode returns the message for loads.
func Encode(loads []routing.PeerLoad) []byte {
	var b bytes.Buffer
	e := msgpack.NewEncoder(&b)
	e.UseCompactInts(true)
	engines, organisations := split(loads)
	// Writes to a bytes.Buffer do not fail.
	_ = e.EncodeArrayLen(2)
	_ = e.EncodeArrayLen(len(engines))
	for _, l := range engines {
		encodeEngine(e, l)
	}
	_ = e.EncodeArrayLen(2 * len(organisations))
	for _, o := range organisations {
		_ = e.EncodeUint(o.Hash)
		_ = e.EncodeUint(uint64(max(0, o.Requests)))
	}
	return b.Bytes()
}

func split(loads []routing.PeerLoad) (engines []routing.PeerLoad, organisations []routing.OrganisationLoad) {
	for _, l := range loads {
		if l.Endpoint == "" {
			organisations = l.Organisations
			continue
		}
		engines = append(engines, l)
	}
	return engines[:min(len(engines), maxEngines)], organisations[:min(len(organisations), maxOrganisations)]
}

func encodeEngine(e *msgpack.Encoder, l routing.PeerLoad) {
	held := l.Held[:min(len(l.Held), maxHeld)]
	_ = e.EncodeArrayLen(engineFields)
	_ = e.EncodeUint(uint64(Hash(l.Endpoint)))
	_ = e.EncodeUint(uint64(Hash(l.Incarnation)))
	_ = e.EncodeUint(uint64(max(0, l.Outstanding)))
	_ = e.EncodeUint(uint64(max(0, l.Requests)))
	_ = e.EncodeUint(uint64(min(max(l.Slowdown, 0), maxSlowdown) * percent))
	_ = e.EncodeUint(uint64(max(0, l.Measured)))
	raw := make([]byte, 0, hashBytes*len(held))
	for _, h := range held {
		raw = appendHash(raw, h)
	}
	_ = e.EncodeBytes(raw)
}
