package gossip

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/eventlog"
)

// Protocol versions that this build speaks. Two versions run side by side
// during a rolling replacement; a connection uses the greatest common one.
const (
	// VersionFull sends each fact whole.
	VersionFull uint8 = 1
	// VersionTouch renews facts whose value did not change by their hash alone.
	VersionTouch uint8 = 2

	minVersion = VersionFull
	maxVersion = VersionTouch
)

// Defaults of Config.
const (
	DefaultFanOut           = 3
	DefaultMaxInbound       = 24
	DefaultBytesPerSecond   = 4 << 10
	DefaultBurstBytes       = 64 << 10
	DefaultHeartbeat        = time.Second
	DefaultIdleTimeout      = 3500 * time.Millisecond
	DefaultHandshakeTimeout = 3 * time.Second
	DefaultFlushInterval    = 500 * time.Millisecond
	DefaultLoadInterval     = 250 * time.Millisecond
	DefaultSummaryInterval  = 10 * time.Second
	DefaultRotateInterval   = 10 * time.Minute
	DefaultMinBackoff       = 200 * time.Millisecond
	DefaultMaxBackoff       = 30 * time.Second

	minKeyBytes  = 16
	maxKeys      = 4
	maxNameBytes = 128
	maxAddrBytes = 128
)

// Config configures a Node. Zero values of the optional fields get defaults.
type Config struct {
	// Name is the daemon's name; required.
	Name string
	// DataCentre is the data centre of the daemon's instance.
	DataCentre string
	// Address is what peers connect to; required.
	Address string
	// CallerAddress is what callers connect to; passed on to peers.
	CallerAddress string
	// Keys authenticate daemons to one another; at least one, at most 4. All
	// are accepted, so that the fleet's key can be changed without a stop.
	Keys [][]byte
	// Seeds are peer addresses to try beside those that peers tell of.
	Seeds []string
	// Discover, if set, returns further peer addresses, such as those of the
	// platform's list. It must not block.
	Discover func() []string
	// Listener accepts peers; required. The Node closes it.
	Listener net.Listener
	// Dial connects to a peer; default is TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Events records peers that come, go or are rejected; its clock stamps frames.
	Events *eventlog.Log

	// FanOut is the number of connections that the Node opens itself.
	FanOut int
	// MaxInbound bounds accepted connections, those still in the handshake included.
	MaxInbound int
	// BytesPerSecond and BurstBytes bound what the Node sends: in any t
	// seconds at most t*BytesPerSecond + 2*BurstBytes.
	BytesPerSecond int
	BurstBytes     int
	// Heartbeat is the longest pause between two frames on a connection.
	Heartbeat time.Duration
	// IdleTimeout ends a connection on which no frame arrives.
	IdleTimeout time.Duration
	// HandshakeTimeout bounds dialling and the handshake.
	HandshakeTimeout time.Duration
	// FlushInterval batches facts that are not urgent.
	FlushInterval time.Duration
	// LoadInterval is the least pause between a daemon's load figures.
	LoadInterval time.Duration
	// SummaryInterval is the pause between two comparisons of what both ends know.
	SummaryInterval time.Duration
	// RotateInterval is how long the choice of peers holds.
	RotateInterval time.Duration
	// MinBackoff and MaxBackoff bound the pause before an address is dialled again.
	MinBackoff time.Duration
	MaxBackoff time.Duration
	// MaxVersion limits the protocol version; 0 means the greatest known.
	MaxVersion uint8
}

// provision fills in defaults.
func (c *Config) provision() {
	setDefault(&c.FanOut, DefaultFanOut)
	setDefault(&c.MaxInbound, DefaultMaxInbound)
	setDefault(&c.BytesPerSecond, DefaultBytesPerSecond)
	setDefault(&c.BurstBytes, DefaultBurstBytes)
	setDefault(&c.Heartbeat, DefaultHeartbeat)
	setDefault(&c.IdleTimeout, DefaultIdleTimeout)
	setDefault(&c.HandshakeTimeout, DefaultHandshakeTimeout)
	setDefault(&c.FlushInterval, DefaultFlushInterval)
	setDefault(&c.LoadInterval, DefaultLoadInterval)
	setDefault(&c.SummaryInterval, DefaultSummaryInterval)
	setDefault(&c.RotateInterval, DefaultRotateInterval)
	setDefault(&c.MinBackoff, DefaultMinBackoff)
	setDefault(&c.MaxBackoff, DefaultMaxBackoff)
	setDefault(&c.MaxVersion, maxVersion)
	if c.Dial == nil {
		c.Dial = dialTCP
	}
	if c.Events == nil {
		c.Events = eventlog.Discard()
	}
}

// validate reports the first fault.
func (c *Config) validate() error {
	switch {
	case c.Name == "" || len(c.Name) > maxNameBytes:
		return errors.Newf("gossip: name %q: want 1 to %d bytes", c.Name, maxNameBytes)
	case len(c.DataCentre) > maxNameBytes:
		return errors.Newf("gossip: data centre %q: want at most %d bytes", c.DataCentre, maxNameBytes)
	case c.Address == "" || len(c.Address) > maxAddrBytes:
		return errors.Newf("gossip: address %q: want 1 to %d bytes", c.Address, maxAddrBytes)
	case len(c.CallerAddress) > maxAddrBytes:
		return errors.Newf("gossip: caller address %q: want at most %d bytes", c.CallerAddress, maxAddrBytes)
	case len(c.Keys) == 0 || len(c.Keys) > maxKeys:
		return errors.Newf("gossip: want 1 to %d keys, got %d", maxKeys, len(c.Keys))
	case c.Listener == nil:
		return errors.New("gossip: no listener")
	case c.MaxVersion < minVersion || c.MaxVersion > maxVersion:
		return errors.Newf("gossip: version %d: want %d to %d", c.MaxVersion, minVersion, maxVersion)
	case c.BurstBytes < MaxValueBytes:
		return errors.Newf("gossip: burst of %d bytes: want at least %d", c.BurstBytes, MaxValueBytes)
	case c.IdleTimeout <= c.Heartbeat:
		return errors.New("gossip: the idle timeout must exceed the heartbeat")
	}
	for i, k := range c.Keys {
		if len(k) < minKeyBytes {
			return errors.Newf("gossip: key %d: want at least %d bytes, got %d", i, minKeyBytes, len(k))
		}
	}
	return nil
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
