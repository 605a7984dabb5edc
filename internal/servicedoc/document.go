// Package servicedoc defines service documents, in which a team configures how
// requests to its service are served: the schema, its validation, the defaults
// and the order of revisions.
package servicedoc

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Kind is the kind of upstreams that serve a service.
type Kind string

const (
	// KindModel is a service that model engines serve.
	KindModel Kind = "model"
	// KindPlain is a service that ordinary HTTP upstreams serve.
	KindPlain Kind = "plain"
)

// Document is a service document as submitted, without defaults.
type Document struct {
	// Service is the service's name: 1 to 63 lower-case letters, digits and dashes.
	Service string `json:"service"`
	// Kind is "model" or "plain".
	Kind Kind `json:"kind"`
	// Organisations lists who may use the service.
	Organisations []Organisation `json:"organisations"`
	// Models lists the models of a model service; at least one.
	Models []Model `json:"models,omitempty"`
	// Classes replaces the default classes "interactive" and "deferrable".
	Classes []Class `json:"classes,omitempty"`
	// DataCentres restricts upstreams to these data centres; empty means all.
	DataCentres []string `json:"data_centres,omitempty"`
	// Limits bounds a single request.
	Limits Limits `json:"limits,omitzero"`
	// Calls lists the call rules of a plain service.
	Calls []CallRule `json:"calls,omitempty"`
	// Budgets bounds retries and hedges.
	Budgets Budgets `json:"budgets,omitzero"`
	// CacheBlock is the block size of the engines' prefix caches.
	CacheBlock CacheBlock `json:"piece,omitzero"`
}

// Organisation is an organisation that may use a service.
type Organisation struct {
	Name string `json:"name"`
	// KeySHA256 holds the SHA-256 digests of the organisation's bearer keys, in hexadecimal.
	KeySHA256 []string `json:"key_sha256"`
	// Share is the organisation's fair-share weight under load; default 1.
	Share int `json:"share,omitempty"`
}

// Model is one model version that the service offers.
type Model struct {
	Name    string `json:"name"`
	Version string `json:"version"`
	// Adapter is the name of the adapter loaded with the weights; empty means none.
	Adapter string `json:"adapter,omitempty"`
	// Engines selects engines by label; empty means all engines of the service.
	Engines map[string]string `json:"engines,omitempty"`
}

// Class is a priority class of requests to a service.
type Class struct {
	Name string `json:"name"`
	// Priority is 0 to 9; engines serve higher priorities first.
	Priority int `json:"priority"`
	// MaxWait bounds how long a request may wait for an engine.
	MaxWait Duration `json:"max_wait"`
	// Deferrable requests use spare capacity only and never displace others.
	Deferrable bool `json:"deferrable,omitempty"`
}

// Limits bounds one request.
type Limits struct {
	// MaxBodyBytes bounds a request body; default 8 MiB.
	MaxBodyBytes int64 `json:"max_body_bytes,omitempty"`
	// MaxOutputTokens bounds the output tokens that a request may ask for; default 4096.
	MaxOutputTokens int `json:"max_output_tokens,omitempty"`
	// MaxLevels bounds the levels (messages) of a prompt; default 64.
	MaxLevels int `json:"max_levels,omitempty"`
}

// CallRule is a rule for calls to a plain service. The first rule that matches
// applies; a call that matches none is repeatable only when its method is GET,
// HEAD or OPTIONS.
type CallRule struct {
	Method string `json:"method"`
	// PathPrefix is matched against the path after /services/{service}/http.
	PathPrefix string `json:"path_prefix"`
	Repeatable bool   `json:"repeatable"`
	// Timeout bounds the call; default 30s.
	Timeout Duration `json:"timeout,omitempty"`
}

// Budgets bounds retries and hedged attempts, in percent of requests.
type Budgets struct {
	// RetryPercent defaults to 10.
	RetryPercent *int `json:"retry_percent,omitempty"`
	// HedgePercent defaults to 5.
	HedgePercent *int `json:"hedge_percent,omitempty"`
}

// CacheBlock describes a block of an engine's prefix cache.
type CacheBlock struct {
	// Bytes is the prompt text per block; default 4000.
	Bytes int `json:"bytes,omitempty"`
}

// Defaults of optional fields.
const (
	DefaultMaxBodyBytes    = 8 << 20
	DefaultMaxOutputTokens = 4096
	DefaultMaxLevels       = 64
	DefaultBlockBytes      = 4000
	DefaultRetryPercent    = 10
	DefaultHedgePercent    = 5
	DefaultCallTimeout     = 30 * time.Second
)

// ClassInteractive and ClassDeferrable are the classes of a document that lists none.
const (
	ClassInteractive = "interactive"
	ClassDeferrable  = "deferrable"
)

// Duration is a time.Duration encoded as a JSON string with a unit, such as "250ms".
type Duration time.Duration

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return errors.New(`want a duration as a string with a unit, such as "250ms"`)
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return errors.Newf("%q is not a duration: want a number with a unit, such as \"250ms\"", s)
	}
	*d = Duration(v)
	return nil
}

// Revision numbers the accepted versions of one document, from 1. Zero means
// that none has been accepted.
type Revision uint64

// Accepted is an accepted document with defaults applied. It is immutable.
type Accepted struct {
	Revision Revision
	Document Document
	// Body is the submitted JSON.
	Body                    []byte
	organisationByKeyDigest map[[sha256.Size]byte]int
}

// NewAccepted parses body, applies defaults and indexes the organisations' keys.
func NewAccepted(rev Revision, body []byte) (*Accepted, error) {
	doc, err := Parse(body)
	if err != nil {
		return nil, err
	}
	a := &Accepted{Revision: rev, Document: doc.withDefaults(), Body: body, organisationByKeyDigest: map[[sha256.Size]byte]int{}}
	for i, o := range a.Document.Organisations {
		for _, keyDigest := range o.KeySHA256 {
			var digest [sha256.Size]byte
			b, err := hex.DecodeString(keyDigest)
			if err != nil {
				return nil, errors.Wrap(err, "decode key digest")
			}
			copy(digest[:], b)
			a.organisationByKeyDigest[digest] = i
		}
	}
	return a, nil
}

// Supersedes reports whether a is newer than old, which may be nil.
func (a *Accepted) Supersedes(old *Accepted) bool {
	return old == nil || a.Revision > old.Revision
}

// Authenticate returns the organisation that key belongs to, or nil. The key is
// looked up by its digest; the final comparison takes constant time.
func (a *Accepted) Authenticate(key string) *Organisation {
	digest := sha256.Sum256([]byte(key))
	i, ok := a.organisationByKeyDigest[digest]
	if !ok {
		return nil
	}
	for _, keyDigest := range a.Document.Organisations[i].KeySHA256 {
		b, err := hex.DecodeString(keyDigest)
		if err == nil && subtle.ConstantTimeCompare(b, digest[:]) == 1 {
			return &a.Document.Organisations[i]
		}
	}
	return nil
}

// Class returns the class with the given name; empty selects the first.
func (a *Accepted) Class(name string) (Class, bool) {
	if name == "" {
		return a.Document.Classes[0], true
	}
	for _, c := range a.Document.Classes {
		if c.Name == name {
			return c, true
		}
	}
	return Class{}, false
}

// Model returns the model with the given name; empty selects the first.
func (a *Accepted) Model(name string) (Model, bool) {
	for _, m := range a.Document.Models {
		if m.Name == name || name == "" {
			return m, true
		}
	}
	return Model{}, false
}

// Weights returns the identifier of the weights that serve the model, in the
// form name@version or name@version+adapter.
func (m Model) Weights() string {
	w := m.Name + "@" + m.Version
	if m.Adapter != "" {
		w += "+" + m.Adapter
	}
	return w
}

// WeightsID is a parsed identifier of weights.
type WeightsID struct{ Name, Version, Adapter string }

// ParseWeights parses an identifier that Model.Weights returned; ok is false
// when it has no name or no version.
func ParseWeights(s string) (WeightsID, bool) {
	name, rest, ok := strings.Cut(s, "@")
	version, adapter, _ := strings.Cut(rest, "+")
	return WeightsID{Name: name, Version: version, Adapter: adapter}, ok && name != "" && version != ""
}

func (d Document) withDefaults() Document {
	if d.Limits.MaxBodyBytes == 0 {
		d.Limits.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if d.Limits.MaxOutputTokens == 0 {
		d.Limits.MaxOutputTokens = DefaultMaxOutputTokens
	}
	if d.Limits.MaxLevels == 0 {
		d.Limits.MaxLevels = DefaultMaxLevels
	}
	if d.CacheBlock.Bytes == 0 {
		d.CacheBlock.Bytes = DefaultBlockBytes
	}
	if d.Budgets.RetryPercent == nil {
		d.Budgets.RetryPercent = new(DefaultRetryPercent)
	}
	if d.Budgets.HedgePercent == nil {
		d.Budgets.HedgePercent = new(DefaultHedgePercent)
	}
	if len(d.Classes) == 0 {
		d.Classes = []Class{
			{Name: ClassInteractive, Priority: 5, MaxWait: Duration(2 * time.Second)},
			{Name: ClassDeferrable, Priority: 1, MaxWait: Duration(time.Minute), Deferrable: true},
		}
	}
	orgs := make([]Organisation, len(d.Organisations))
	copy(orgs, d.Organisations)
	for i := range orgs {
		if orgs[i].Share == 0 {
			orgs[i].Share = 1
		}
	}
	d.Organisations = orgs
	return d
}

// CallRule returns the rule that applies to a call to a plain service.
func (a *Accepted) CallRule(method, path string) CallRule {
	for _, c := range a.Document.Calls {
		if c.Method == method && strings.HasPrefix(path, c.PathPrefix) {
			if c.Timeout == 0 {
				c.Timeout = Duration(DefaultCallTimeout)
			}
			return c
		}
	}
	safe := method == "GET" || method == "HEAD" || method == "OPTIONS"
	return CallRule{Method: method, PathPrefix: "/", Repeatable: safe, Timeout: Duration(DefaultCallTimeout)}
}
