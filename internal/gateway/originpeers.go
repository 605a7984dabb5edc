package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/verbenabend/verbenabend/internal/allowance"
	"github.com/verbenabend/verbenabend/internal/mirror"
	"github.com/verbenabend/verbenabend/internal/streamorigin"
)

const (
	// originProtocol names the protocol by which a daemon without the store asks others by which
	// software version a stream began.
	originProtocol = "stream-origin/1"
	// maxAskedPeers is the number of daemons that are asked at once. Each that reads the store
	// knows as much as any other.
	maxAskedPeers = 3
	// askTimeout limits the questions about one stream, and the answer to one.
	askTimeout = 600 * time.Millisecond
)

// originAnswer says by which version a stream began, if the daemon knows.
type originAnswer struct {
	Software string
	Known    bool
}

// askPeers asks other daemons by which software version a stream began. known is unset if none of
// them knows.
func (d *Daemon) askPeers(ctx context.Context, s streamorigin.Stream) (software string, known bool) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	peers := d.copySources()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	answers := make(chan originAnswer, maxAskedPeers)
	var asked sync.WaitGroup
	for _, p := range peers[:min(len(peers), maxAskedPeers)] {
		asked.Go(func() {
			if a, err := d.askPeer(ctx, p.Address, s); err == nil && a.Known {
				answers <- a
				cancel() // one answer does
			}
		})
	}
	asked.Wait()
	select {
	case a := <-answers:
		return a.Software, true
	default:
		return "", false
	}
}

func (d *Daemon) askPeer(ctx context.Context, address string, s streamorigin.Stream) (originAnswer, error) {
	var a originAnswer
	conn, err := d.network.Dial(ctx, "tcp", address)
	if err != nil {
		return a, err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	if err := mirror.StartProtocol(conn, originProtocol, d.settings.Name); err != nil {
		return a, err
	}
	if err := allowance.WriteFrame(conn, &s); err != nil {
		return a, err
	}
	return a, allowance.ReadFrame(conn, &a)
}

// answerOrigin answers another daemon's question on a connection.
func (d *Daemon) answerOrigin(conn net.Conn, _ string) {
	var s streamorigin.Stream
	if conn.SetDeadline(time.Now().Add(askTimeout)) != nil || allowance.ReadFrame(conn, &s) != nil {
		return // the peer disconnected or sent an invalid frame
	}
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	var a originAnswer
	a.Software, a.Known = d.origins.FindForPeer(ctx, s)
	_ = allowance.WriteFrame(conn, &a) // fails only if the peer no longer waits
}
