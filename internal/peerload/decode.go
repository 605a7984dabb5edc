package peerload

import (
	"bytes"
	"encoding/binary"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/verbenabend/verbenabend/internal/routing"
)

func appendHash(b []byte, h uint64) []byte { return binary.LittleEndian.AppendUint64(b, h) }

// Decode returns the loads in a message. It omits engines that are unknown or
// whose current incarnation is not the one that the sender reported. The only
// error is ErrMalformed.
func Decode(message []byte, engines EngineFinder) ([]routing.PeerLoad, error) {
	d := decoder{d: msgpack.NewDecoder(bytes.NewReader(message))}
	if d.arrayLen(2) != 2 {
		return nil, ErrMalformed
	}
	var out []routing.PeerLoad
	for range d.arrayLen(maxEngines) {
		if l, ok := d.engine(engines); ok {
			out = append(out, l)
		}
	}
	organisationFields := d.arrayLen(2 * maxOrganisations)
	organisations := routing.PeerLoad{}
	for range organisationFields / 2 {
		o := routing.OrganisationLoad{Hash: d.uint(1<<64 - 1), Requests: d.count()}
		organisations.Organisations = append(organisations.Organisations, o)
		if d.failed {
			break
		}
	}
	if d.failed || organisationFields%2 != 0 {
		return nil, ErrMalformed
	}
	if organisationFields > 0 {
		out = append(out, organisations)
	}
	return out, nil
}

// decoder reads msgpack with a limit on each value. After the first failure all
// reads return zero values.
type decoder struct {
	d      *msgpack.Decoder
	failed bool
}

func (d *decoder) engine(engines EngineFinder) (routing.PeerLoad, bool) {
	if d.arrayLen(engineFields) != engineFields {
		d.failed = true
		return routing.PeerLoad{}, false
	}
	endpointHash := uint32(d.uint(1<<32 - 1))
	incarnationHash := uint32(d.uint(1<<32 - 1))
	l := routing.PeerLoad{PendingTokens: d.count(), Requests: d.count()}
	l.Slowdown = float64(d.uint(maxSlowdown*slowdownScale)) / slowdownScale
	l.MeasuredResponses = d.count()
	l.HeldLevels = d.hashes()
	if d.failed {
		return routing.PeerLoad{}, false
	}
	endpoint, incarnation, ok := engines.Engine(endpointHash)
	if !ok || Hash(incarnation) != incarnationHash {
		return routing.PeerLoad{}, false
	}
	l.Endpoint, l.Incarnation = endpoint, incarnation
	return l, true
}

func (d *decoder) arrayLen(limit int) int {
	if d.failed {
		return 0
	}
	n, err := d.d.DecodeArrayLen()
	if err != nil || n < 0 || n > limit {
		d.failed = true
		return 0
	}
	return n
}

func (d *decoder) uint(limit uint64) uint64 {
	if d.failed {
		return 0
	}
	n, err := d.d.DecodeUint64()
	if err != nil || n > limit {
		d.failed = true
		return 0
	}
	return n
}

func (d *decoder) count() int { return int(d.uint(1<<31 - 1)) }

func (d *decoder) hashes() []uint64 {
	if d.failed {
		return nil
	}
	n, err := d.d.DecodeBytesLen()
	if err != nil || n < 0 || n > hashBytes*maxHeldHashes || n%hashBytes != 0 {
		d.failed = true
		return nil
	}
	raw := make([]byte, n)
	if err := d.d.ReadFull(raw); err != nil {
		d.failed = true
		return nil
	}
	var out []uint64
	for ; len(raw) > 0; raw = raw[hashBytes:] {
		out = append(out, binary.LittleEndian.Uint64(raw))
	}
	return out
}
