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

// Handshake errors.
var (
	errNoCommonVersion = errors.New("no common protocol version")
	errNoCommonKey     = errors.New("no common fleet key with the peer; check that both daemons are configured with the same fleet key")
)

// protocolMagic starts each hello.
const protocolMagic = "vbgossip"

// Labels separate the proofs and keys of the two directions, which prevents
// reflection attacks.
const (
	labelListenerProof = "listener proof"
	labelDialerProof   = "dialer proof"
	labelKeyToDialer   = "key listener to dialer"
	labelKeyToListener = "key dialer to listener"
)

// hello is the first message of either side.
type hello struct {
	Min, Max   uint8
	Nonce      [nonceBytes]byte
	Name       string
	DataCentre string
	// Start is the start time of the sender's process in microseconds since 1970.
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

// decodeHello ignores fields that later versions add after the known ones. It
// returns errMalformed for anything else.
func decodeHello(body []byte) (*hello, error) {
	d := newDecoder(body)
	fieldCount := d.arrayLen(16)
	if d.string(len(protocolMagic)) != protocolMagic || fieldCount < 7 {
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
	send    frameAuth
	receive frameAuth
}

// handshake authenticates a new connection and negotiates the protocol version.
// Each side proves that it holds a fleet key by an HMAC over both hellos:
//
//	dialer   -> listener  hello
//	listener -> dialer    hello, one proof per accepted key
//	dialer   -> listener  proof with its first key that matches
//
// It returns errNoCommonVersion, errNoCommonKey, errMalformed or an I/O error.
func handshake(r *bufio.Reader, w io.Writer, dialer bool, own hello, keys [][]byte) (*session, error) {
	if _, err := rand.Read(own.Nonce[:]); err != nil {
		return nil, errors.Wrap(err, "generate handshake nonce")
	}
	ownHello := own.encode()
	var peerHello []byte
	var err error
	if dialer {
		if err := writeBody(w, ownHello); err != nil {
			return nil, err
		}
		peerHello, err = readBody(r, maxHelloBytes)
	} else {
		peerHello, err = readBody(r, maxHelloBytes)
	}
	if err != nil {
		return nil, err
	}
	peer, err := decodeHello(peerHello)
	if err != nil {
		return nil, err
	}
	if !dialer {
		if err := writeBody(w, ownHello); err != nil {
			return nil, err
		}
	}
	s := &session{peer: peer, version: min(own.Max, peer.Max)}
	if s.version < max(own.Min, peer.Min) {
		return nil, errors.Wrapf(errNoCommonVersion, "own versions %d to %d, peer's versions %d to %d", own.Min, own.Max, peer.Min, peer.Max)
	}
	if dialer {
		return s, s.authenticateAsDialer(r, w, transcript(ownHello, peerHello), keys)
	}
	return s, s.authenticateAsListener(r, w, transcript(peerHello, ownHello), keys)
}

func (s *session) authenticateAsDialer(r *bufio.Reader, w io.Writer, transcript []byte, keys [][]byte) error {
	body, err := readBody(r, maxHelloBytes)
	if err != nil {
		return err
	}
	proofs, err := decodeProofs(body)
	if err != nil {
		return err
	}
	key := matchingKey(keys, proofs, labelListenerProof, transcript)
	if key == nil {
		return errNoCommonKey
	}
	if err := writeBody(w, encodeProofs([][]byte{derive(key, labelDialerProof, transcript)})); err != nil {
		return err
	}
	s.send.key = derive(key, labelKeyToListener, transcript)
	s.receive.key = derive(key, labelKeyToDialer, transcript)
	return nil
}

func (s *session) authenticateAsListener(r *bufio.Reader, w io.Writer, transcript []byte, keys [][]byte) error {
	var proofs [][]byte
	for _, k := range keys {
		proofs = append(proofs, derive(k, labelListenerProof, transcript))
	}
	if err := writeBody(w, encodeProofs(proofs)); err != nil {
		return err
	}
	body, err := readBody(r, maxHelloBytes)
	if err != nil {
		return err
	}
	dialerProofs, err := decodeProofs(body)
	if err != nil {
		return err
	}
	key := matchingKey(keys, dialerProofs, labelDialerProof, transcript)
	if key == nil {
		return errNoCommonKey
	}
	s.send.key = derive(key, labelKeyToDialer, transcript)
	s.receive.key = derive(key, labelKeyToListener, transcript)
	return nil
}

// matchingKey returns the first key that produced one of the proofs, or nil.
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
