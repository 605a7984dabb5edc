package streamorigin

import (
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/verbenabend/verbenabend/internal/platform"
	"github.com/verbenabend/verbenabend/internal/prefix"
)

// Stream identifies a stream, whichever of its caller's requests is served.
type Stream struct {
	Service      string
	Organisation string
	// RequestID is that of the request that brought the stream's first event.
	RequestID string
}

// key returns a hash of the stream's identity. It includes the organisation, so that a caller
// learns nothing of another one's streams.
func (s Stream) key() uint64 {
	return prefix.NodeHash(fmt.Sprintf("%d:%s%d:%s%s", len(s.Service), s.Service, len(s.Organisation), s.Organisation, s.RequestID))
}

// maxStreams bounds the streams that a daemon remembers: their row has to fit the store's rows.
const maxStreams = 4000

// stream is what is known of a stream.
type stream struct {
	service, software string
	until             time.Time
}

// streams holds the streams that this daemon began or continued, by key.
type streams map[uint64]stream

// add notes a stream. Beyond maxStreams one that ends early is forgotten.
func (s streams) add(key uint64, x stream, now time.Time) {
	if _, known := s[key]; !known && len(s) >= maxStreams {
		s.expire(now)
	}
	if _, known := s[key]; !known && len(s) >= maxStreams {
		first, until := key, x.until
		for other, y := range s {
			if y.until.Before(until) {
				first, until = other, y.until
			}
		}
		delete(s, first)
	}
	s[key] = x
}

// expire forgets the streams that can no longer be resumed.
func (s streams) expire(now time.Time) {
	for key, x := range s {
		if now.After(x.until) {
			delete(s, key)
		}
	}
}

// row is a daemon's streams as the store keeps them.
type row struct {
	// Until is when the last of the streams can be resumed.
	Until    platform.StoreTime `msgpack:"until"`
	Versions []versionStreams   `msgpack:"versions"`
}

// versionStreams are the streams that a software version began: their keys, 8 bytes each.
type versionStreams struct {
	Software string `msgpack:"software"`
	Keys     []byte `msgpack:"keys"`
}

const keyBytes = 8

// row returns the row of the streams of some services.
func (s streams) row(services map[string]bool, now time.Time, storeNow platform.StoreTime) row {
	keys := map[string][]byte{}
	out := row{Until: storeNow}
	for key, x := range s {
		if services[x.service] {
			keys[x.software] = binary.BigEndian.AppendUint64(keys[x.software], key)
			out.Until = max(out.Until, storeNow.Add(x.until.Sub(now)))
		}
	}
	for software, list := range keys {
		out.Versions = append(out.Versions, versionStreams{software, list})
	}
	return out
}

func (r *row) encode() ([]byte, error) { return msgpack.Marshal(r) }

// find returns the version that began a stream.
func (r *row) find(key uint64) (software string, ok bool) {
	want := binary.BigEndian.AppendUint64(nil, key)
	for _, v := range r.Versions {
		for list := v.Keys; len(list) >= keyBytes; list = list[keyBytes:] {
			if slices.Equal(list[:keyBytes], want) {
				return v.Software, true
			}
		}
	}
	return "", false
}

func decodeRow(value []byte) (row, error) {
	var r row
	return r, errors.Wrap(msgpack.Unmarshal(value, &r), "decode the row of a daemon's streams")
}
