// Package routetable holds a deployment's desired state: which requests go to
// which service, who may send them, and within which limits. A Table is
// immutable; each new revision has its own.
package routetable

import (
	"cmp"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/prefix"
)

// Kind states how often requests of a route may run.
type Kind int8

// Kinds of routes.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Stream requests are answered by a stream of events. They run at most once
	// unless the route is resumable.
	Stream
)

// String implements fmt.Stringer.
func (k Kind) String() string { return [...]string{"unsafe", "safe", "stream"}[k] }

// Target is one service of a route and its weight.
type Target struct {
	Service string
	// Weight is relative to the weights of the route's other targets.
	Weight int
}

// Route defines how requests for a host and a path prefix are served.
type Route struct {
	Name string
	// Host is matched without a port, Prefix against the start of the path;
	// Prefix begins and ends with a slash.
	Host       string
	PathPrefix string
	Kind       Kind
	// Targets are the services that share the route's traffic; at least one.
	Targets []Target
	// Timeout limits the duration of a request; 0 means no limit.
	Timeout time.Duration
	// FirstByteGoal is the operators' goal for the time to first byte; 0 when not
	// stated.
	FirstByteGoal time.Duration
	// EventGapGoal is the operators' goal for the longest gap between events; 0
	// when not stated.
	EventGapGoal time.Duration
	// MaxAttempts limits how many upstreams may run one request.
	MaxAttempts int
	// Priority is the route's priority; 0 is served first.
	Priority int
	// Public routes need no API key.
	Public bool
	// HasPromptParts is set if requests list the parts of their prompt.
	HasPromptParts bool
	// Resumable streams may be resumed at another engine after the last event.
	Resumable bool
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Service describes the upstreams that a route's requests go to.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections limits the connections that one upstream accepts from all
	// clients.
	MaxConnections int
	// Engine is set for model engines.
	Engine *EngineSpec
	// CacheStore is set for a store of cached prompts, which serves no
	// requests.
	CacheStore *CacheStore
}

// EngineSpec describes the engines of a model service.
type EngineSpec struct {
	// Slots is how many requests one engine runs at once.
	Slots int
	// CacheTokens is an engine's cache capacity in tokens, shared by running
	// requests and cached prompts.
	CacheTokens int
	// BytesPerToken is the size of one cached token.
	BytesPerToken int
	// LinkMbps is the bandwidth for transfers of cached prompts, in megabits
	// per second.
	LinkMbps float64
	// EventReaders limits concurrent readers of one engine's cache events.
	EventReaders int
	Models       []string
}

// CacheStore is a shared store of cached prompts.
type CacheStore struct {
	Address    string
	DataCentre string
	// CacheTokens is the store's capacity in tokens.
	CacheTokens int
	// LinkMbps is the store's bandwidth in megabits per second.
	LinkMbps float64
	// EventReaders limits concurrent readers of the store's events.
	EventReaders int
}

// Organisation is a customer with its API keys.
type Organisation struct {
	Name string
	Keys []string
	// Priority replaces the route's priority; nil when not stated.
	Priority *int
	// Isolated organisations share no cached prompts with others.
	Isolated bool
	// Allowance is the organisation's quota across all daemons.
	Allowance Allowance
}

// Allowance is a quota: a token bucket for the requests of an organisation.
type Allowance struct {
	// PerSecond is 0 if there is no limit. It and Burst are in tokens if InTokens is set,
	// otherwise in requests.
	PerSecond float64
	Burst     float64
	InTokens  bool
	// UnstatedTokens is what a request costs that does not state its tokens.
	UnstatedTokens float64
}

// MaxAllowance replaces greater rates, bursts and costs. Sums of a million of them are exact enough
// as float64.
const MaxAllowance = 1e12

// Bound replaces values without meaning: negative ones by 0, ones above MaxAllowance by that. It
// describes each.
func (a *Allowance) Bound() (faults []string) {
	for _, v := range []struct {
		name  string
		value *float64
	}{{"the rate", &a.PerSecond}, {"the burst", &a.Burst}, {"the cost of a request without tokens", &a.UnstatedTokens}} {
		switch was := *v.value; {
		case was < 0:
			*v.value = 0
			faults = append(faults, fmt.Sprintf("%s %g is negative: counts as 0", v.name, was))
		case was > MaxAllowance:
			*v.value = MaxAllowance
			faults = append(faults, fmt.Sprintf("%s %g is above %g, which is used", v.name, was, float64(MaxAllowance)))
		}
	}
	return faults
}

// Limited reports whether there is a limit.
func (a Allowance) Limited() bool { return a.PerSecond > 0 }

// Cost returns the cost of a request, which states its tokens if stated is set.
func (a Allowance) Cost(tokens float64, stated bool) float64 {
	switch {
	case !a.InTokens:
		return 1
	case stated:
		return tokens
	default:
		return a.UnstatedTokens
	}
}

// Limits restrict callers' requests and connections; 0 means no limit stated.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// State is a desired state as operators write it.
type State struct {
	// Revision grows with every change.
	Revision      uint64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits
	// Faults describes values without meaning, which were replaced.
	Faults []string
}

// Table indexes one revision of the desired state.
type Table struct {
	State
	routesByHost      map[string][]*Route // longest prefix first
	serviceByName     map[string]*Service
	organisationByKey map[string]*Organisation
	// organisationByName includes organisations without a key.
	organisationByName map[string]*Organisation
	isolationDigest    string
}

// New returns the Table of a state, or an error for the first invalid route.
func New(s State) (*Table, error) {
	t := &Table{State: s, routesByHost: map[string][]*Route{}, serviceByName: map[string]*Service{}, organisationByKey: map[string]*Organisation{}, organisationByName: map[string]*Organisation{}}
	for i := range t.Services {
		t.serviceByName[t.Services[i].Name] = &t.Services[i]
	}
	for i := range t.Routes {
		r := &t.Routes[i]
		if err := r.validate(); err != nil {
			return nil, err
		}
		host := strings.ToLower(r.Host)
		t.routesByHost[host] = append(t.routesByHost[host], r)
	}
	for _, routes := range t.routesByHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	for i := range t.Organisations {
		o := &t.Organisations[i]
		t.organisationByName[o.Name] = o
		for _, key := range o.Keys {
			t.organisationByKey[key] = o
		}
	}
	t.isolationDigest = isolationDigest(t.Organisations)
	return t, nil
}

func (r *Route) validate() error {
	if r.Host == "" || !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		return errors.Newf("route %q: host %q, prefix %q: host must be set, prefix must begin and end with a slash", r.Name, r.Host, r.PathPrefix)
	}
	if len(r.Targets) == 0 {
		return errors.Newf("route %q: no target service", r.Name)
	}
	return nil
}

// Match returns the route with the longest matching prefix, or nil if none
// matches.
func (t *Table) Match(hostport, path string) *Route {
	host := hostport
	if h, _, err := net.SplitHostPort(hostport); err == nil {
		host = h
	}
	for _, r := range t.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Service returns the service of this name, or nil if there is none.
func (t *Table) Service(name string) *Service { return t.serviceByName[name] }

// CacheStore returns the first store of cached prompts, or nil if there is
// none.
func (t *Table) CacheStore() *CacheStore {
	for i := range t.Services {
		if s := t.Services[i].CacheStore; s != nil {
			return s
		}
	}
	return nil
}

// OrganisationByKey returns the organisation that an API key belongs to, or
// nil.
func (t *Table) OrganisationByKey(key string) *Organisation {
	if key == "" {
		return nil
	}
	return t.organisationByKey[key]
}

// Organisation returns the organisation of this name, or nil if there is none.
func (t *Table) Organisation(name string) *Organisation { return t.organisationByName[name] }

// IsolationDigest identifies the set of isolated organisations, in letters, digits, hyphens and
// underscores; it is empty if there are none.
func (t *Table) IsolationDigest() string { return t.isolationDigest }

// NewlyIsolates reports whether an organisation is isolated that earlier does not isolate.
func (t *Table) NewlyIsolates(earlier *Table) bool {
	if t.isolationDigest == earlier.isolationDigest {
		return false
	}
	return slices.ContainsFunc(t.Organisations, func(o Organisation) bool {
		before := earlier.Organisation(o.Name)
		return o.Isolated && (before == nil || !before.Isolated)
	})
}

// isolationDigestBytes makes it unlikely enough that two of a deployment's sets collide: 1 in
// 200 million for 100 sets.
const isolationDigestBytes = 5

func isolationDigest(organisations []Organisation) string {
	var names []string
	for _, o := range organisations {
		if o.Isolated {
			names = append(names, o.Name)
		}
	}
	if len(names) == 0 {
		return ""
	}
	slices.Sort(names)
	hash := sha256.New()
	for _, name := range slices.Compact(names) {
		fmt.Fprintf(hash, "%d:%s", len(name), name)
	}
	return base64.RawURLEncoding.EncodeToString(hash.Sum(nil)[:isolationDigestBytes])
}

// RequiresKeys reports whether routes that are not public require an API key.
func (t *Table) RequiresKeys() bool { return len(t.Organisations) > 0 }

// ChooseService selects a target by weight. Within a revision the choice
// depends only on the request ID.
func (r *Route) ChooseService(requestID string) string {
	total := 0
	for _, target := range r.Targets {
		total += max(0, target.Weight)
	}
	if len(r.Targets) == 1 || total == 0 {
		return r.Targets[0].Service
	}
	point := int(prefix.NodeHash(requestID) % uint64(total))
	for _, target := range r.Targets {
		if point -= max(0, target.Weight); point < 0 {
			return target.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}
