package mirror

import (
	"context"
	"encoding/binary"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/verbenabend/verbenabend/internal/platform"
)

const (
	// maxQuestionBytes and maxAnswerBytes bound the frames.
	maxQuestionBytes = 1 << 10
	maxAnswerBytes   = 8 << 20
	// maxPeerWait bounds how long a peer may let a question wait.
	maxPeerWait = 5 * time.Second
	// maxPeerConnections bounds the connections of peers.
	maxPeerConnections = 64
	// idlePeerTimeout ends a connection without questions.
	idlePeerTimeout = 10 * time.Second
	// peersAsked is how many peers are asked at once; the newest answer counts.
	peersAsked = 2
)

// question asks a peer for its copy of a table.
type question struct {
	Table string
	// After is the version that the asker has.
	After  uint64
	WaitMs int64
}

// answer is a copy of a table; Known is false when the peer has none.
type answer struct {
	Known   bool
	Version uint64
	Rows    []platform.Change
}

func writeFrame(w io.Writer, v any) error {
	body, err := msgpack.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "encode a frame")
	}
	frame := binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(body)), uint32(len(body)))
	_, err = w.Write(append(frame, body...))
	return err
}

func readFrame(r io.Reader, most int, v any) error {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return err
	}
	n := int(binary.BigEndian.Uint32(head[:]))
	if n > most {
		return errors.Newf("a frame of %d bytes; at most %d are taken", n, most)
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(r, body); err != nil {
		return err
	}
	return errors.Wrap(msgpack.Unmarshal(body, v), "decode a frame")
}

// Serve answers peers' questions from the mirrors, by table, until the
// listener closes.
func Serve(ctx context.Context, listener net.Listener, mirrors map[string]*Mirror) error {
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
			return errors.Wrap(err, "accept a peer")
		}
		select {
		case slots <- struct{}{}:
		default:
			conn.Close()
			continue
		}
		wg.Go(func() {
			defer func() { <-slots }()
			serveConn(ctx, conn, mirrors)
		})
	}
}

func serveConn(ctx context.Context, conn net.Conn, mirrors map[string]*Mirror) {
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	for {
		var q question
		if conn.SetReadDeadline(time.Now().Add(idlePeerTimeout)) != nil || readFrame(conn, maxQuestionBytes, &q) != nil {
			return // the peer left, or does not speak this protocol
		}
		var a answer
		if m := mirrors[q.Table]; m != nil {
			wait := min(max(0, time.Duration(q.WaitMs)*time.Millisecond), maxPeerWait)
			if c, err := m.ReadChanges(ctx, q.Table, q.After, wait); err == nil {
				a = answer{Known: true, Version: c.Version, Rows: c.Rows}
			}
		}
		if conn.SetWriteDeadline(time.Now().Add(callTimeout)) != nil || writeFrame(conn, &a) != nil {
			return
		}
	}
}

// Peers reads the copies of peers. It implements platform.Feed.
type Peers struct {
	// Addresses returns where the peers listen, without this daemon.
	Addresses func() []string
	// Dial connects to a peer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

var _ platform.Feed = (*Peers)(nil)

// ReadTable implements platform.Feed.
func (p *Peers) ReadTable(ctx context.Context, table string) (platform.Changes, error) {
	return p.ReadChanges(ctx, table, 0, 0)
}

// ReadChanges implements platform.Feed. It asks some peers and returns the
// newest answer.
func (p *Peers) ReadChanges(ctx context.Context, table string, after uint64, wait time.Duration) (platform.Changes, error) {
	addresses := p.Addresses()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	addresses = addresses[:min(peersAsked, len(addresses))]
	if len(addresses) == 0 {
		return platform.Changes{}, errors.New("no peer is known")
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
			c, err := p.ask(ctx, address, question{Table: table, After: after, WaitMs: wait.Milliseconds()})
			results <- result{c, err}
		}()
	}
	var best platform.Changes
	var last error
	found := false
	for range addresses {
		r := <-results
		if r.err != nil {
			last = r.err
			continue
		}
		if !found || r.changes.Version > best.Version {
			best, found = r.changes, true
		}
		if best.Version > after {
			return best, nil
		}
	}
	if !found {
		return platform.Changes{}, errors.Wrap(last, "no peer answers")
	}
	return best, nil
}

func (p *Peers) ask(ctx context.Context, address string, q question) (platform.Changes, error) {
	conn, err := p.Dial(ctx, "tcp", address)
	if err != nil {
		return platform.Changes{}, err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	if err := writeFrame(conn, &q); err != nil {
		return platform.Changes{}, err
	}
	var a answer
	if err := readFrame(conn, maxAnswerBytes, &a); err != nil {
		return platform.Changes{}, err
	}
	if !a.Known {
		return platform.Changes{}, errNotSynced
	}
	return platform.Changes{Rows: a.Rows, Version: a.Version, Whole: true}, nil
}
