package capacity

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/platform"
	"github.com/verbenabend/verbenabend/internal/platform/httpplatform"
	"github.com/verbenabend/verbenabend/internal/upstream/httpengine"
	"github.com/verbenabend/verbenabend/lab/engine"
	labplatform "github.com/verbenabend/verbenabend/lab/platform"
)

const (
	callCount   = 300
	rowBytes    = 100
	callTimeout = 10 * time.Second
)

// calls measures what a daemon's calls to engines and to the platform cost.
// The processor time is that of both ends.
func calls() ([]result, error) {
	engineServer, err := serveCounted(engine.New(engine.Config{Weights: []string{"opal@1"}, Slots: 16}))
	if err != nil {
		return nil, err
	}
	defer engineServer.Close()
	platformServer, err := serveCounted(labplatform.New(instances(listEntries)))
	if err != nil {
		return nil, err
	}
	defer platformServer.Close()
	engines := httpengine.New(nil)
	client := httpplatform.New("http://"+platformServer.Addr().String(), callTimeout)
	probe, err := engineServer.measure("probe of an engine", func(ctx context.Context) error {
		_, err := engines.State(ctx, engineServer.Addr().String())
		return err
	})
	if err != nil {
		return nil, err
	}
	const key = "capacity/row"
	err = client.Commit(context.Background(), platform.Txn{Writes: []platform.Write{{Key: key, Value: make([]byte, rowBytes)}}})
	if err != nil {
		return nil, err
	}
	row, err := platformServer.measure("read of a row of 100 bytes", func(ctx context.Context) error {
		_, err := client.Get(ctx, key)
		return err
	})
	if err != nil {
		return nil, err
	}
	list, err := platformServer.measure("read of the instance list", func(ctx context.Context) error {
		_, err := client.ListInstances(ctx)
		return err
	})
	if err != nil {
		return nil, err
	}
	list.Engines = listEntries
	return []result{probe, row, list}, nil
}

// countedListener counts the bytes of all its connections.
type countedListener struct {
	net.Listener
	bytes atomic.Int64
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func serveCounted(h http.Handler) (*countedListener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	counted := &countedListener{Listener: l}
	go func() { _ = http.Serve(counted, h) }() // ends when the listener is closed
	return counted, nil
}

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{c, &l.bytes}, nil
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (l *countedListener) measure(what string, call func(context.Context) error) (result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if err := call(ctx); err != nil {
		return result{}, errors.Wrap(err, what)
	}
	bytes, cpu := l.bytes.Load(), processorTime()
	for range callCount {
		if err := call(ctx); err != nil {
			return result{}, errors.Wrap(err, what)
		}
	}
	return result{
		What: what, Bytes: float64(l.bytes.Load()-bytes) / callCount,
		CallMicros: float64((processorTime() - cpu).Microseconds()) / callCount,
	}, nil
}
