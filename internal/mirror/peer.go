package mirror

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"

	"github.com/verbenabend/verbenabend/internal/platform"
)

const (
	// maxRequestBytes and maxResponseBytes limit the size of frames.
	maxRequestBytes  = 1 << 10
	maxResponseBytes = 8 << 20
	// maxRequestWait limits the long poll that a peer may request.
	maxRequestWait = 5 * time.Second
	// maxPeerConnections limits the open connections from peers.
	maxPeerConnections = 1 << 10
	// peerIdleTimeout closes a connection without requests.
	peerIdleTimeout = 10 * time.Second
	// parallelRequests is how many peers are sent a request at once; the newest
	// response is used.
	parallelRequests = 2
)

// peerRequest requests a peer's copy of a table. Fields are encoded under their
// names.
type peerRequest struct {
	Table string
	// After is the version of the requester's copy, Era its era.
	After  uint64
	Era    uint64 `msgpack:",omitempty"`
	WaitMs int64
	// Follow, if set, requests a stream of frames with the changes of tables since their
	// versions, in place of a response.
	Follow map[string]uint64 `msgpack:",omitempty"`
	// FollowEras holds the eras of those versions that are not 0.
	FollowEras map[string]uint64 `msgpack:",omitempty"`
	// Protocol, if set, passes the connection to the handler of another protocol. From is
	// the daemon that opened it.
	Protocol string `msgpack:",omitempty"`
	From     string `msgpack:",omitempty"`
}

// StartProtocol passes a connection of a daemon to a peer's handler of a protocol.
func StartProtocol(conn net.Conn, protocol, from string) error {
	return writeFrame(conn, &peerRequest{Protocol: protocol, From: from})
}

// peerResponse is a copy of a table; Known is false if the peer has none.
// Fields are encoded under their names.
type peerResponse struct {
	Known   bool
	Version uint64
	Era     uint64 `msgpack:",omitempty"`
	Rows    []platform.Change
	// Contacts is platform.Changes.Contacts.
	Contacts []platform.Contact `msgpack:",omitempty"`
}

func writeFrame(w io.Writer, v any) error {
	body, err := msgpack.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "encode frame")
	}
	frame := binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(body)), uint32(len(body)))
	_, err = w.Write(append(frame, body...))
	return err
}

func readFrame(r io.Reader, maxBytes int, v any) error {
	var header [4]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return err
	}
	n := int(binary.BigEndian.Uint32(header[:]))
	if n > maxBytes {
		return errors.Newf("frame of %d bytes exceeds the limit of %d", n, maxBytes)
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(r, body); err != nil {
		return err
	}
	if err := checkNesting(body); err != nil {
		return err
	}
	return errors.Wrap(msgpack.Unmarshal(body, v), "decode frame")
}

// maxNesting is the depth of the deepest frame, with room for fields of later versions.
const maxNesting = 16

// checkNesting rejects a frame that is nested too deep. The decoder skips unknown fields by
// recursion, which ends the process where the stack does.
func checkNesting(body []byte) error {
	d := msgpack.NewDecoder(bytes.NewReader(body))
	for left := []int{1}; len(left) > 0; { // values left at each level
		last := len(left) - 1
		if left[last] == 0 {
			left = left[:last]
			continue
		}
		left[last]--
		code, err := d.PeekCode()
		n := 0
		switch {
		case err != nil:
		case msgpcode.IsFixedArray(code) || code == msgpcode.Array16 || code == msgpcode.Array32:
			n, err = d.DecodeArrayLen()
		case msgpcode.IsFixedMap(code) || code == msgpcode.Map16 || code == msgpcode.Map32:
			n, err = d.DecodeMapLen()
			n *= 2
		default:
			err = d.Skip()
		}
		if err != nil {
			return errors.Wrap(err, "decode frame")
		}
		if n > 0 {
			left = append(left, n)
		}
		if len(left) > maxNesting {
			return errors.Newf("frame is nested deeper than %d levels", maxNesting)
		}
	}
	return nil
}

// Serve answers peers' requests from the mirrors of a Follower. It returns an error when
// ctx ends or the listener fails.
func Serve(ctx context.Context, listener net.Listener, f *Follower) error {
	slots := make(chan struct{}, maxPeerConnections)
	var wg sync.WaitGroup
	defer wg.Wait()
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			return errors.Wrap(err, "accept peer connection")
		}
		select {
		case slots <- struct{}{}:
		default:
			conn.Close()
			continue
		}
		wg.Go(func() {
			defer func() { <-slots }()
			f.serveConn(ctx, conn)
		})
	}
}

func (f *Follower) serveConn(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	for {
		var req peerRequest
		if conn.SetReadDeadline(time.Now().Add(peerIdleTimeout)) != nil || readFrame(conn, maxRequestBytes, &req) != nil {
			return // the peer disconnected or sent an invalid frame
		}
		if req.Protocol != "" {
			if handle := f.settings.Protocols[req.Protocol]; handle != nil {
				handle(conn, req.From)
			}
			return
		}
		if req.Follow != nil {
			f.serveStream(ctx, conn, req.Follow, req.FollowEras)
			return
		}
		var resp peerResponse
		if m := f.mirror(req.Table); m != nil {
			wait := min(max(0, time.Duration(req.WaitMs)*time.Millisecond), maxRequestWait)
			if c, err := m.ReadChanges(ctx, req.Table, platform.Position{Era: req.Era, Version: req.After}, wait); err == nil {
				resp = peerResponse{Known: true, Version: c.Version, Era: c.Era, Rows: c.Rows, Contacts: c.Contacts}
			}
		}
		if conn.SetWriteDeadline(time.Now().Add(callTimeout)) != nil || writeFrame(conn, &resp) != nil {
			return
		}
	}
}

// mirror returns the copy of a table, nil if there is none.
func (f *Follower) mirror(table string) *Mirror {
	for _, m := range f.mirrors {
		if m.settings.Table == table {
			return m
		}
	}
	return nil
}

// Peers reads the copies of peers. It implements platform.Feed.
type Peers struct {
	// Addresses returns the peers' listen addresses, without this daemon's.
	Addresses func() []string
	// Dial connects to a peer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

var _ platform.Feed = (*Peers)(nil)

// ReadTable implements platform.Feed.
func (p *Peers) ReadTable(ctx context.Context, table string) (platform.Changes, error) {
	return p.ReadChanges(ctx, table, platform.Position{}, 0)
}

// ReadChanges implements platform.Feed. It requests the copies of up to
// parallelRequests peers and returns the first response newer than after, or
// else the newest.
func (p *Peers) ReadChanges(ctx context.Context, table string, after platform.Position, wait time.Duration) (platform.Changes, error) {
	addresses := p.Addresses()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	addresses = addresses[:min(parallelRequests, len(addresses))]
	if len(addresses) == 0 {
		return platform.Changes{}, errors.New("no peer address is known")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		changes platform.Changes
		err     error
	}
	results := make(chan result, len(addresses))
	for _, address := range addresses {
		go func() {
			c, err := p.fetch(ctx, address, peerRequest{Table: table, After: after.Version, Era: after.Era, WaitMs: wait.Milliseconds()})
			results <- result{c, err}
		}()
	}
	var newest platform.Changes
	var lastErr error
	found := false
	for range addresses {
		r := <-results
		if r.err != nil {
			lastErr = r.err
			continue
		}
		contacts := append(newest.Contacts, r.changes.Contacts...)
		if !found || newest.At().Before(r.changes.At()) {
			newest, found = r.changes, true
		}
		newest.Contacts = contacts
		if after.Before(newest.At()) {
			return newest, nil
		}
	}
	if !found {
		return platform.Changes{}, errors.Wrap(lastErr, "no peer returned the table")
	}
	return newest, nil
}

func (p *Peers) fetch(ctx context.Context, address string, req peerRequest) (platform.Changes, error) {
	conn, err := p.Dial(ctx, "tcp", address)
	if err != nil {
		return platform.Changes{}, err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	if err := writeFrame(conn, &req); err != nil {
		return platform.Changes{}, err
	}
	var resp peerResponse
	if err := readFrame(conn, maxResponseBytes, &resp); err != nil {
		return platform.Changes{}, err
	}
	if !resp.Known {
		return platform.Changes{}, errNotSynced
	}
	return platform.Changes{Rows: resp.Rows, Version: resp.Version, Era: resp.Era, Whole: true, Contacts: resp.Contacts}, nil
}
