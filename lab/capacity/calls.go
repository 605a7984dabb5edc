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
	callsPerMeasurement = 300
	rowBytes            = 100
	callTimeout         = 10 * time.Second
)

// measureCalls measures the bytes and the processor time of a daemon's calls to
// engines and to the platform. Client and server share the process, so the
// processor time covers both.
func measureCalls() ([]result, error) {
	engineServer, err := serveCounting(engine.New(engine.Config{Weights: []string{"opal@1"}, Slots: 16}))
	if err != nil {
		return nil, err
	}
	defer engineServer.Close()
	platformServer, err := serveCounting(labplatform.New(instances(instanceCount)))
	if err != nil {
		return nil, err
	}
	defer platformServer.Close()
	engines := httpengine.New(nil)
	client := httpplatform.New("http://"+platformServer.Addr().String(), callTimeout)
	probe, err := engineServer.measureCall("probe of an engine", func(ctx context.Context) error {
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
	row, err := platformServer.measureCall("read of a row of 100 bytes", func(ctx context.Context) error {
		_, err := client.Get(ctx, key)
		return err
	})
	if err != nil {
		return nil, err
	}
	list, err := platformServer.measureCall("read of the instance list", func(ctx context.Context) error {
		_, err := client.ListInstances(ctx)
		return err
	})
	if err != nil {
		return nil, err
	}
	list.Engines = instanceCount
	return []result{probe, row, list}, nil
}

// countingListener counts the bytes read and written on all its connections.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func serveCounting(h http.Handler) (*countingListener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen on loopback")
	}
	counting := &countingListener{Listener: l}
	go func() { _ = http.Serve(counting, h) }() // returns when the listener is closed
	return counting, nil
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{c, &l.bytes}, nil
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (l *countingListener) measureCall(what string, call func(context.Context) error) (result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if err := call(ctx); err != nil {
		return result{}, errors.Wrap(err, what)
	}
	bytes, cpu := l.bytes.Load(), cpuTime()
	for range callsPerMeasurement {
		if err := call(ctx); err != nil {
			return result{}, errors.Wrap(err, what)
		}
	}
	return result{
		What: what, BytesEach: float64(l.bytes.Load()-bytes) / callsPerMeasurement,
		CPUMicrosEach: float64((cpuTime() - cpu).Microseconds()) / callsPerMeasurement,
	}, nil
}
