package gossip

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"
)

// DaemonInfo is the value of a KindDaemon fact.
type DaemonInfo struct {
	// Start is the start time of the process in microseconds since 1970; of two
	// processes with the same name, the later one supersedes the other.
	Start         uint64
	DataCentre    string
	PeerAddress   string
	CallerAddress string
	// Draining daemons accept no new callers.
	Draining bool
	// Stopped is set in the last fact of a daemon that shuts down cleanly.
	Stopped bool
	// Starting daemons are draining because they have not been ready yet.
	Starting bool
}

// Encode returns the value of a KindDaemon fact.
func (d DaemonInfo) Encode() []byte {
	var buf bytes.Buffer
	e := msgpack.NewEncoder(&buf)
	e.UseCompactInts(true)
	// Writes to a bytes.Buffer do not fail.
	_ = e.EncodeArrayLen(7)
	_ = e.EncodeUint(d.Start)
	_ = e.EncodeString(d.DataCentre)
	_ = e.EncodeString(d.PeerAddress)
	_ = e.EncodeString(d.CallerAddress)
	_ = e.EncodeBool(d.Draining)
	_ = e.EncodeBool(d.Stopped)
	_ = e.EncodeBool(d.Starting)
	return buf.Bytes()
}

// DecodeDaemonInfo decodes the value of a KindDaemon fact. Fields added by later
// versions are ignored.
func DecodeDaemonInfo(value []byte) (DaemonInfo, error) {
	d := newDecoder(value)
	fields := d.arrayLen(16)
	if fields < 6 {
		d.fail()
	}
	info := DaemonInfo{Start: d.uint(1<<64 - 1)}
	info.DataCentre = d.string(maxNameBytes)
	info.PeerAddress = d.string(maxAddrBytes)
	info.CallerAddress = d.string(maxAddrBytes)
	info.Draining = d.bool()
	info.Stopped = d.bool()
	if fields > 6 { // older daemons do not tell
		info.Starting = d.bool()
	}
	if d.err != nil {
		return DaemonInfo{}, d.err
	}
	return info, nil
}

func (d *decoder) bool() bool {
	if d.err != nil {
		return false
	}
	v, err := d.d.DecodeBool()
	if err != nil {
		d.fail()
	}
	return v
}
