package gossip

import (
	"bufio"
	"bytes"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Reasons to reject a peer.
var (
	errVersion = errors.New("no common protocol version")
	errKey     = errors.New("peer does not hold the fleet's key")
)

// protocolMagic starts each hello.
const protocolMagic = "vbgossip"

// Labels keep the proofs and keys of both directions apart, so that none can
// be sent back to its sender.
const (
	labelListener = "listener proof"
	labelDialer   = "dialer proof"
	labelToDialer = "key listener to dialer"
	labelToListen = "key dialer to listener"
)

// hello is the first frame of either side.
type hello struct {
	Min, Max   uint8
	Nonce      [nonceBytes]byte
	Name       string
	DataCentre string
	// Start is the start time of the peer's process, in microseconds.
	Start uint64
}

func (h *hello) encode() []byte {
	var buf bytes.Buffer
	e := msgpack.NewEncoder(&buf)
	e.UseCompactInts(true)
	_ = e.EncodeArrayLen(7)
	_ = e.EncodeString(protocolMagic)
	_ = e.EncodeUint(uint64(h.Min))
	_ = e.EncodeUint(uint64(h.Max))
	_ = e.EncodeBytes(h.Nonce[:])
	_ = e.EncodeString(h.Name)
	_ = e.EncodeString(h.DataCentre)
	_ = e.EncodeUint(h.Start)
	return buf.Bytes()
}

// decodeHello accepts further fields of later versions after the known ones.
func decodeHello(body []byte) (*hello, error) {
	d := newDecoder(body)
	fields := d.arrayLen(16)
	if d.string(len(protocolMagic)) != protocolMagic || fields < 7 {
		return nil, errMalformed
	}
	h := &hello{Min: uint8(d.uint(255)), Max: uint8(d.uint(255))}
	nonce := d.bytes(nonceBytes)
	h.Name = d.string(maxNameBytes)
	h.DataCentre = d.string(maxNameBytes)
	h.Start = d.uint(1<<64 - 1)
	if d.err != nil || len(nonce) != nonceBytes || h.Name == "" || h.Min > h.Max {
		return nil, errMalformed
	}
	copy(h.Nonce[:], nonce)
	return h, nil
}

func encodeProofs(proofs [][]byte) []byte {
	var buf bytes.Buffer
	e := msgpack.NewEncoder(&buf)
	_ = e.EncodeArrayLen(len(proofs))
	for _, p := range proofs {
		_ = e.EncodeBytes(p)
	}
	return buf.Bytes()
}

func decodeProofs(body []byte) ([][]byte, error) {
	d := newDecoder(body)
	var proofs [][]byte
	for range d.arrayLen(maxKeys) {
		p := d.bytes(macBytes)
		if len(p) != macBytes {
			d.fail()
		}
		proofs = append(proofs, p)
	}
	return proofs, d.finish()
}

// session is the result of a handshake.
type session struct {
	peer    *hello
	version uint8
	send    sealer
	receive sealer
}

// shake runs the handshake on a new connection. Both sides prove that they
// hold one of the fleet's keys by a MAC over both hellos:
//
//	dialer   -> listener  hello
//	listener -> dialer    hello, a proof by each key it accepts
//	dialer   -> listener  a proof by the first of its keys that matches
func shake(r *bufio.Reader, w io.Writer, dialer bool, own hello, keys [][]byte) (*session, error) {
	if _, err := rand.Read(own.Nonce[:]); err != nil {
		return nil, errors.Wrap(err, "nonce")
	}
	mine := own.encode()
	var theirs []byte
	var err error
	if dialer {
		if err := writeBody(w, mine); err != nil {
			return nil, err
		}
		theirs, err = readBody(r, maxHelloBytes)
	} else {
		theirs, err = readBody(r, maxHelloBytes)
	}
	if err != nil {
		return nil, err
	}
	peer, err := decodeHello(theirs)
	if err != nil {
		return nil, err
	}
	if !dialer {
		if err := writeBody(w, mine); err != nil {
			return nil, err
		}
	}
	s := &session{peer: peer, version: min(own.Max, peer.Max)}
	if s.version < max(own.Min, peer.Min) {
		return nil, errors.Wrapf(errVersion, "own %d to %d, peer %d to %d", own.Min, own.Max, peer.Min, peer.Max)
	}
	if dialer {
		return s, s.proveDialer(r, w, transcript(mine, theirs), keys)
	}
	return s, s.proveListener(r, w, transcript(theirs, mine), keys)
}

func (s *session) proveDialer(r *bufio.Reader, w io.Writer, transcript []byte, keys [][]byte) error {
	body, err := readBody(r, maxHelloBytes)
	if err != nil {
		return err
	}
	proofs, err := decodeProofs(body)
	if err != nil {
		return err
	}
	key := matchingKey(keys, proofs, labelListener, transcript)
	if key == nil {
		return errKey
	}
	if err := writeBody(w, encodeProofs([][]byte{derive(key, labelDialer, transcript)})); err != nil {
		return err
	}
	s.send.key = derive(key, labelToListen, transcript)
	s.receive.key = derive(key, labelToDialer, transcript)
	return nil
}

func (s *session) proveListener(r *bufio.Reader, w io.Writer, transcript []byte, keys [][]byte) error {
	var proofs [][]byte
	for _, k := range keys {
		proofs = append(proofs, derive(k, labelListener, transcript))
	}
	if err := writeBody(w, encodeProofs(proofs)); err != nil {
		return err
	}
	body, err := readBody(r, maxHelloBytes)
	if err != nil {
		return err
	}
	answer, err := decodeProofs(body)
	if err != nil {
		return err
	}
	key := matchingKey(keys, answer, labelDialer, transcript)
	if key == nil {
		return errKey
	}
	s.send.key = derive(key, labelToDialer, transcript)
	s.receive.key = derive(key, labelToListen, transcript)
	return nil
}

// matchingKey returns the first key by which one of the proofs was made.
func matchingKey(keys, proofs [][]byte, label string, transcript []byte) []byte {
	for _, k := range keys {
		want := derive(k, label, transcript)
		for _, p := range proofs {
			if hmac.Equal(p, want) {
				return k
			}
		}
	}
	return nil
}

func transcript(dialer, listener []byte) []byte {
	t := appendLength(nil, len(dialer))
	t = append(t, dialer...)
	return append(t, listener...)
}

func derive(key []byte, label string, transcript []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(label))
	mac.Write([]byte{0})
	mac.Write(transcript)
	return mac.Sum(nil)
}

func writeBody(w io.Writer, body []byte) error {
	_, err := w.Write(append(appendLength(nil, len(body)), body...))
	return err
}
