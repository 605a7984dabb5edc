package gossip

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/eventlog"
)

// Supported protocol versions. Two versions run side by side during a rolling
// upgrade; a connection uses the greatest common one.
const (
	// VersionFull sends each fact with its value.
	VersionFull uint8 = 1
	// VersionTouch renews a fact with an unchanged value without sending the value.
	VersionTouch uint8 = 2
	// VersionEcho returns to a peer when it sent what was last received from it.
	VersionEcho uint8 = 3

	minProtocolVersion = VersionFull
	maxProtocolVersion = VersionEcho
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
	DefaultMinLoadInterval  = 250 * time.Millisecond
	DefaultSummaryInterval  = 10 * time.Second
	DefaultRotateInterval   = 10 * time.Minute
	DefaultMinBackoff       = 200 * time.Millisecond
	DefaultMaxBackoff       = 30 * time.Second

	minKeyBytes  = 16
	maxKeys      = 4
	maxNameBytes = 128
	maxAddrBytes = 128
)

// Config configures a Node. Optional fields that are zero get defaults.
type Config struct {
	// Name is the daemon's name; required.
	Name string
	// DataCentre is the data centre of the daemon's instance.
	DataCentre string
	// Address is the address that peers connect to; required.
	Address string
	// CallerAddress is the address that callers connect to; published to peers.
	CallerAddress string
	// Keys authenticate daemons to one another; 1 to 4 of at least 16 bytes. All
	// are accepted, so that the fleet's key can be rotated without downtime.
	Keys [][]byte
	// Seeds are peer addresses to dial in addition to those learnt by gossip.
	// Node.SetSeeds replaces them.
	Seeds []string
	// Discover, if set, returns further peer addresses, such as those on the
	// platform's instance list. It must not block.
	Discover func() []string
	// Listener accepts peers' connections; required. The Node closes it.
	Listener net.Listener
	// Dial connects to a peer; the default is TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Events logs peers that connect, disconnect or are rejected; its clock
	// timestamps frames.
	Events *eventlog.Log

	// FanOut is the number of outbound connections; it may be exceeded by one
	// while neighbours change or unknown addresses are dialled.
	FanOut int
	// MaxInbound bounds inbound connections, including those in the handshake.
	MaxInbound int
	// BytesPerSecond and BurstBytes bound the sent bytes: in any t seconds at
	// most t*BytesPerSecond + 2*BurstBytes.
	BytesPerSecond int
	BurstBytes     int
	// Heartbeat is the longest interval between two frames on a connection.
	Heartbeat time.Duration
	// IdleTimeout closes a connection on which no frame arrives. It must
	// exceed Heartbeat.
	IdleTimeout time.Duration
	// HandshakeTimeout bounds dialling and the handshake.
	HandshakeTimeout time.Duration
	// FlushInterval is how long facts that are not urgent wait to be batched.
	FlushInterval time.Duration
	// MinLoadInterval is the shortest interval between a daemon's load updates.
	MinLoadInterval time.Duration
	// MaxLoadInterval, if set, is the longest interval between a daemon's load updates. Where
	// the budget requires a longer one, none are sent for loadPause.
	MaxLoadInterval time.Duration
	// SummaryInterval is the mean interval between anti-entropy rounds on a connection.
	SummaryInterval time.Duration
	// RotateInterval is how long a choice of neighbours is kept.
	RotateInterval time.Duration
	// MinBackoff and MaxBackoff bound the delay before an address is redialled.
	MinBackoff time.Duration
	MaxBackoff time.Duration
	// SinceBoot returns the time since the machine booted, including suspended time; default
	// is the steady clock, which leaves that out.
	SinceBoot func() time.Duration
	// MaxVersion limits the protocol version; 0 means the newest supported.
	MaxVersion uint8
}

func (c *Config) applyDefaults() {
	setDefault(&c.FanOut, DefaultFanOut)
	setDefault(&c.MaxInbound, DefaultMaxInbound)
	setDefault(&c.BytesPerSecond, DefaultBytesPerSecond)
	setDefault(&c.BurstBytes, DefaultBurstBytes)
	setDefault(&c.Heartbeat, DefaultHeartbeat)
	setDefault(&c.IdleTimeout, DefaultIdleTimeout)
	setDefault(&c.HandshakeTimeout, DefaultHandshakeTimeout)
	setDefault(&c.FlushInterval, DefaultFlushInterval)
	setDefault(&c.MinLoadInterval, DefaultMinLoadInterval)
	setDefault(&c.SummaryInterval, DefaultSummaryInterval)
	setDefault(&c.RotateInterval, DefaultRotateInterval)
	setDefault(&c.MinBackoff, DefaultMinBackoff)
	setDefault(&c.MaxBackoff, DefaultMaxBackoff)
	setDefault(&c.MaxVersion, maxProtocolVersion)
	if c.SinceBoot == nil {
		start := time.Now()
		c.SinceBoot = func() time.Duration { return time.Since(start) }
	}
	if c.Dial == nil {
		c.Dial = dialTCP
	}
	if c.Events == nil {
		c.Events = eventlog.Discard()
	}
}

// validate returns an error for the first invalid field.
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
		return errors.New("gossip: listener is missing")
	case c.MaxVersion < minProtocolVersion || c.MaxVersion > maxProtocolVersion:
		return errors.Newf("gossip: maximum protocol version %d: want %d to %d", c.MaxVersion, minProtocolVersion, maxProtocolVersion)
	case c.BurstBytes < MaxValueBytes:
		return errors.Newf("gossip: burst of %d bytes: want at least %d", c.BurstBytes, MaxValueBytes)
	case c.IdleTimeout <= c.Heartbeat:
		return errors.New("gossip: idle timeout must exceed the heartbeat interval")
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
