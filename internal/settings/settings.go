// Package settings reads a daemon's settings from a JSON file. Decoding is
// strict and reports every fault at once.
package settings

import (
	"cmp"
	"encoding/json"
	"net"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/servicedoc"
	"github.com/verbenabend/verbenabend/internal/strictjson"
)

// Settings configures one daemon. Durations are strings with a unit ("2s").
type Settings struct {
	// Name identifies the daemon among its peers; required.
	Name string `json:"name"`
	// DataCentre is the instance's data centre; required.
	DataCentre string `json:"data_centre"`
	// CallerListen is the listen address for callers, host:port; required.
	CallerListen string `json:"caller_listen"`
	// CallerAddress is the address advertised to callers; default CallerListen.
	CallerAddress string `json:"caller_address,omitempty"`
	// OperatorListen is the listen address for operators, host:port; required.
	OperatorListen string `json:"operator_listen"`
	// OperatorKey is the operators' bearer key; required, at least 16 bytes.
	OperatorKey string `json:"operator_key"`
	// PeerListen is the listen address for other daemons, host:port; required.
	PeerListen string `json:"peer_listen"`
	// PeerAddress is the address advertised to peers; default PeerListen.
	PeerAddress string `json:"peer_address,omitempty"`
	// Seeds are peer addresses to try at start, in addition to the platform's instance list.
	Seeds []string `json:"seeds,omitempty"`
	// FleetKey authenticates peers and resume tokens; required, at least 16 bytes.
	FleetKey string `json:"fleet_key"`
	// PreviousFleetKeys are still accepted, so that FleetKey can be rotated without downtime.
	PreviousFleetKeys []string `json:"previous_fleet_keys,omitempty"`
	// Platform configures access to the platform's services; required.
	Platform Platform `json:"platform"`
	// TLS enables TLS for callers and operators.
	TLS *TLS `json:"tls,omitempty"`
	// Log configures the log.
	Log Log `json:"log,omitzero"`
	// EntryMaxAge is how long callers may cache a response of /v1/entries; default 10s.
	EntryMaxAge servicedoc.Duration `json:"entry_max_age,omitempty"`
	// MaxConnections bounds concurrent caller connections; default 4096.
	MaxConnections int `json:"max_connections,omitempty"`
	// DataCentreDelays is the one-way network delay to each other data centre; default 0.
	DataCentreDelays map[string]servicedoc.Duration `json:"data_centre_delays,omitempty"`
}

// Platform configures access to the platform's services.
type Platform struct {
	// URL is the base URL, such as "http://10.0.0.1:7000".
	URL string `json:"url"`
	// Timeout bounds one call; default 2s.
	Timeout servicedoc.Duration `json:"timeout,omitempty"`
	// PollInterval is the interval between reads of the instance list and the change counter; default 1s.
	PollInterval servicedoc.Duration `json:"poll_interval,omitempty"`
}

// TLS names the PEM files of a certificate and its key. Changed files are reloaded.
type TLS struct {
	CertificateFile string `json:"certificate_file"`
	KeyFile         string `json:"key_file"`
}

// Log configures the log on standard error.
type Log struct {
	// Level is "debug", "info", "warn" or "error"; default "info".
	Level string `json:"level,omitempty"`
	// Format is "text" or "json"; default "json".
	Format string `json:"format,omitempty"`
	// RingEvents is the number of recent events kept for the timeline; default 8192.
	RingEvents int `json:"ring_events,omitempty"`
}

// Defaults and bounds.
const (
	DefaultEntryMaxAge     = 10 * time.Second
	DefaultMaxConnections  = 4096
	DefaultPlatformTimeout = 2 * time.Second
	DefaultPollInterval    = time.Second
	DefaultRingEvents      = 8192
	minKeyBytes            = 16
)

// Load reads and validates the settings in file and applies defaults. The error
// lists every fault.
func Load(file string) (*Settings, error) {
	body, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read settings file")
	}
	return Parse(body)
}

// Parse decodes and validates settings and applies defaults. The error is a
// strictjson.Faults that lists every fault.
func Parse(body []byte) (*Settings, error) {
	var s Settings
	faults := strictjson.Decode(body, &s)
	if len(faults) == 0 || faults[0].Path != "$" {
		s.validate(&faults)
	}
	if err := faults.Err(); err != nil {
		return nil, err
	}
	s.applyDefaults()
	return &s, nil
}

// JSON encodes the settings in the format of a settings file.
func (s *Settings) JSON() []byte {
	b, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		panic(err) // every field can be encoded
	}
	return b
}

func (s *Settings) validate(f *strictjson.Faults) {
	for _, x := range []struct{ path, value string }{{"$.name", s.Name}, {"$.data_centre", s.DataCentre}} {
		if !servicedoc.ValidName(x.value) {
			f.Add(x.path, "%q is not a name: 1 to 63 lower-case letters, digits and inner dashes", x.value)
		}
	}
	required := []struct{ path, value string }{
		{"$.caller_listen", s.CallerListen}, {"$.operator_listen", s.OperatorListen}, {"$.peer_listen", s.PeerListen},
	}
	for _, x := range required {
		validateAddress(f, x.path, x.value)
	}
	for i, seed := range s.Seeds {
		validateAddress(f, "$.seeds["+strconv.Itoa(i)+"]", seed)
	}
	for _, x := range []struct{ path, value string }{{"$.operator_key", s.OperatorKey}, {"$.fleet_key", s.FleetKey}} {
		if len(x.value) < minKeyBytes {
			f.Add(x.path, "want a key of at least %d bytes, got %d", minKeyBytes, len(x.value))
		}
	}
	if s.Platform.URL == "" {
		f.Add("$.platform.url", "is required")
	}
	if s.TLS != nil && (s.TLS.CertificateFile == "" || s.TLS.KeyFile == "") {
		f.Add("$.tls", "certificate_file and key_file are both required")
	}
	s.validateLog(f)
}

func (s *Settings) validateLog(f *strictjson.Faults) {
	switch s.Log.Level {
	case "", "debug", "info", "warn", "error":
	default:
		f.Add("$.log.level", `%q is not a level: want "debug", "info", "warn" or "error"`, s.Log.Level)
	}
	switch s.Log.Format {
	case "", "text", "json":
	default:
		f.Add("$.log.format", `%q is not a format: want "text" or "json"`, s.Log.Format)
	}
	if s.Log.RingEvents < 0 {
		f.Add("$.log.ring_events", "must not be negative")
	}
	if s.MaxConnections < 0 {
		f.Add("$.max_connections", "must not be negative")
	}
	if s.EntryMaxAge < 0 {
		f.Add("$.entry_max_age", "must not be negative")
	}
}

func validateAddress(f *strictjson.Faults, path, value string) {
	if _, _, err := net.SplitHostPort(value); err != nil {
		f.Add(path, "%q is not an address: want host:port", value)
	}
}

func (s *Settings) applyDefaults() {
	if s.CallerAddress == "" {
		s.CallerAddress = s.CallerListen
	}
	if s.PeerAddress == "" {
		s.PeerAddress = s.PeerListen
	}
	s.EntryMaxAge = cmp.Or(s.EntryMaxAge, servicedoc.Duration(DefaultEntryMaxAge))
	s.MaxConnections = cmp.Or(s.MaxConnections, DefaultMaxConnections)
	s.Platform.Timeout = cmp.Or(s.Platform.Timeout, servicedoc.Duration(DefaultPlatformTimeout))
	s.Platform.PollInterval = cmp.Or(s.Platform.PollInterval, servicedoc.Duration(DefaultPollInterval))
	s.Log.RingEvents = cmp.Or(s.Log.RingEvents, DefaultRingEvents)
	s.Log.Level = cmp.Or(s.Log.Level, "info")
	s.Log.Format = cmp.Or(s.Log.Format, "json")
}
