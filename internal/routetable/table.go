// Package routetable is the aggregate of a deployment's desired state: which
// requests go to which service, who may send them, and within which limits. A
// Table is immutable; a newer revision replaces it whole.
package routetable

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/prefix"
)

// Kind says what may be repeated.
type Kind int8

// Kinds of routes.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Stream requests are answered by a series of events. They run at most
	// once unless the route is resumable.
	Stream
)

// String implements fmt.Stringer.
func (k Kind) String() string { return [...]string{"unsafe", "safe", "stream"}[k] }

// Target is one service of a split route.
type Target struct {
	Service string
	// Weight is the target's part of the route's traffic.
	Weight int
}

// Route says how requests for a host and a path prefix are served.
type Route struct {
	Name string
	// Host is matched without its port, Prefix against the start of the path;
	// it begins and ends with a slash.
	Host   string
	Prefix string
	Kind   Kind
	// Targets are the services that share the route's traffic; at least one.
	Targets []Target
	// Timeout is the longest time that a caller is kept waiting; 0 means no bound.
	Timeout time.Duration
	// Goal is the time to the first byte for which the operators aim; 0 when not stated.
	Goal time.Duration
	// EventGap is the longest pause between events that operators find acceptable; 0 when not stated.
	EventGap time.Duration
	// MaxAttempts bounds the upstreams that run one request.
	MaxAttempts int
	// Priority is the route's rank; 0 is served first.
	Priority int
	// Public routes need no key.
	Public bool
	// Prompts says that requests state the parts of a prompt.
	Prompts bool
	// Resumable streams may go on at another engine after the last event.
	Resumable bool
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Service is what stands behind routes.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections bounds the connections that one upstream accepts from all callers.
	MaxConnections int
	// Engine is set for model engines.
	Engine *EngineLimits
	// CacheStore is set for a store of cached prompts, which serves no requests.
	CacheStore *CacheStore
}

// EngineLimits describes the engines of a model service.
type EngineLimits struct {
	// Slots is how many requests one engine runs at once.
	Slots int
	// CacheTokens is an engine's memory for running requests and cached prompts.
	CacheTokens int
	// BytesPerToken is the memory of one cached token.
	BytesPerToken int
	// LinkMbps is the bandwidth for transfers of cached prompts, in megabits a second.
	LinkMbps float64
	// EventReaders bounds concurrent reads of one engine's cache events.
	EventReaders int
	Models       []string
}

// CacheStore is a shared store of cached prompts.
type CacheStore struct {
	Address    string
	DataCentre string
	// CacheTokens is the store's capacity.
	CacheTokens int
	// LinkMbps is the store's bandwidth, in megabits a second.
	LinkMbps float64
	// EventReaders bounds concurrent reads of the store's events.
	EventReaders int
}

// Organisation is a customer.
type Organisation struct {
	Name string
	Keys []string
	// Priority replaces that of the route; nil when not stated.
	Priority *int
	// Isolated organisations share no cached prompt with others.
	Isolated bool
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// State is a desired state as operators write it.
type State struct {
	// Revision grows with each change.
	Revision      uint64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits
}

// Table answers look-ups in one revision.
type Table struct {
	State
	byHost   map[string][]*Route // longest prefix first
	services map[string]*Service
	byKey    map[string]*Organisation
}

// New returns the Table of a state, or an error that names its first fault.
func New(s State) (*Table, error) {
	t := &Table{State: s, byHost: map[string][]*Route{}, services: map[string]*Service{}, byKey: map[string]*Organisation{}}
	for i := range t.Services {
		t.services[t.Services[i].Name] = &t.Services[i]
	}
	for i := range t.Routes {
		r := &t.Routes[i]
		if err := r.validate(); err != nil {
			return nil, err
		}
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range t.Organisations {
		for _, key := range t.Organisations[i].Keys {
			t.byKey[key] = &t.Organisations[i]
		}
	}
	return t, nil
}

func (r *Route) validate() error {
	if r.Host == "" || !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return errors.Newf("route %q: host %q, prefix %q: want a host and a prefix that begins and ends with a slash", r.Name, r.Host, r.Prefix)
	}
	if len(r.Targets) == 0 {
		return errors.Newf("route %q: no service", r.Name)
	}
	return nil
}

// Match returns the route of a request, nil when there is none.
func (t *Table) Match(hostport, path string) *Route {
	host := hostport
	if h, _, err := net.SplitHostPort(hostport); err == nil {
		host = h
	}
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns a service by name, nil when it is not known.
func (t *Table) Service(name string) *Service { return t.services[name] }

// CacheStore returns the store of cached prompts, nil when there is none. Of
// several, the first is used.
func (t *Table) CacheStore() *CacheStore {
	for i := range t.Services {
		if s := t.Services[i].CacheStore; s != nil {
			return s
		}
	}
	return nil
}

// Organisation returns who holds a key, nil when nobody does.
func (t *Table) Organisation(key string) *Organisation {
	if key == "" {
		return nil
	}
	return t.byKey[key]
}

// Keyed reports whether requests on routes that are not public need a key.
func (t *Table) Keyed() bool { return len(t.Organisations) > 0 }

// Choose returns the service of a route for one request. The same request
// identifier always gets the same service within a revision.
func (r *Route) Choose(requestID string) string {
	total := 0
	for _, x := range r.Targets {
		total += max(0, x.Weight)
	}
	if len(r.Targets) == 1 || total == 0 {
		return r.Targets[0].Service
	}
	at := int(prefix.NodeHash(requestID) % uint64(total))
	for _, x := range r.Targets {
		if at -= max(0, x.Weight); at < 0 {
			return x.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}
