// Package peerload encodes the load figures that daemons exchange about the
// engines of a service. Names are sent as 32-bit hashes: both ends know the
// engines, and figures of an unknown engine are omitted.
package peerload

import (
	"bytes"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/verbenabend/verbenabend/internal/prefix"
	"github.com/verbenabend/verbenabend/internal/routing"
)

// Limits of a message, checked before memory is allocated for it.
const (
	maxEngines       = 4096
	maxOrganisations = 10_000
	maxHeldHashes    = 1024
	hashBytes        = 8
	engineFields     = 7
	slowdownScale    = 100 // slowdowns are sent in hundredths
	maxSlowdown      = 1000
)

// ErrMalformed reports a message that is not validly encoded or exceeds a limit.
var ErrMalformed = errors.New("malformed load figures")

// EngineFinder finds an engine by the hash of its endpoint.
type EngineFinder interface {
	// Engine returns an engine's endpoint and current incarnation, and false
	// if no engine has the hash.
	Engine(hash uint32) (endpoint, incarnation string, ok bool)
}

// Hash returns the 32-bit hash of a name.
func Hash(name string) uint32 { return uint32(prefix.NodeHash(name)) }

// Encode returns the message for loads. Engines, organisations and held hashes
// beyond the limits of a message are omitted, and counts below 0 are sent as 0.
func Encode(loads []routing.PeerLoad) []byte {
	var b bytes.Buffer
	e := msgpack.NewEncoder(&b)
	e.UseCompactInts(true)
	engines, organisations := splitOrganisations(loads)
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

// splitOrganisations separates the load per engine from the load per
// organisation, which is in the entry without an endpoint.
func splitOrganisations(loads []routing.PeerLoad) (engines []routing.PeerLoad, organisations []routing.OrganisationLoad) {
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
	held := l.HeldLevels[:min(len(l.HeldLevels), maxHeldHashes)]
	_ = e.EncodeArrayLen(engineFields)
	_ = e.EncodeUint(uint64(Hash(l.Endpoint)))
	_ = e.EncodeUint(uint64(Hash(l.Incarnation)))
	_ = e.EncodeUint(uint64(max(0, l.PendingTokens)))
	_ = e.EncodeUint(uint64(max(0, l.Requests)))
	_ = e.EncodeUint(uint64(min(max(l.Slowdown, 0), maxSlowdown) * slowdownScale))
	_ = e.EncodeUint(uint64(max(0, l.MeasuredResponses)))
	raw := make([]byte, 0, hashBytes*len(held))
	for _, h := range held {
		raw = appendHash(raw, h)
	}
	_ = e.EncodeBytes(raw)
}
