// Package servicedoc is the aggregate of a service document: what one team
// states about how its service's requests are to be served. It holds the
// document's schema, its validation and the rule by which revisions advance.
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

// Kind says what stands behind a service.
type Kind string

const (
	// KindModel is a service of model engines.
	KindModel Kind = "model"
	// KindPlain is a service of ordinary HTTP upstreams.
	KindPlain Kind = "plain"
)

// Document is one service's document, as its team writes it.
type Document struct {
	// Service is the service's name: 1 to 63 lower-case letters, digits and dashes.
	Service string `json:"service"`
	// Kind is "model" or "plain".
	Kind Kind `json:"kind"`
	// Organisations may use the service; nobody else does.
	Organisations []Organisation `json:"organisations"`
	// Models lists the models of a model service; at least one.
	Models []Model `json:"models,omitempty"`
	// Classes replaces the default classes "interactive" and "deferrable".
	Classes []Class `json:"classes,omitempty"`
	// DataCentres restricts the upstreams used; empty means all.
	DataCentres []string `json:"data_centres,omitempty"`
	// Limits bounds what one request may ask for.
	Limits Limits `json:"limits,omitzero"`
	// Calls lists, for a plain service, which calls may be repeated.
	Calls []Call `json:"calls,omitempty"`
	// Budgets bounds retries and hedges.
	Budgets Budgets `json:"budgets,omitzero"`
	// Piece is the size of the pieces in which engines cache prompts.
	Piece Piece `json:"piece,omitzero"`
}

// Organisation is one customer of a service.
type Organisation struct {
	Name string `json:"name"`
	// KeySHA256 holds hexadecimal SHA-256 digests of the organisation's bearer keys.
	KeySHA256 []string `json:"key_sha256"`
	// Share is the organisation's weight under load; default 1.
	Share int `json:"share,omitempty"`
}

// Model is one model version that the service offers.
type Model struct {
	Name    string `json:"name"`
	Version string `json:"version"`
	// Adapter is the adapter loaded beside the weights; empty means none.
	Adapter string `json:"adapter,omitempty"`
	// Engines selects engines by label; empty means all of the service's engines.
	Engines map[string]string `json:"engines,omitempty"`
}

// Class is a class of work within a service.
type Class struct {
	Name string `json:"name"`
	// Priority orders classes at an engine; higher goes first. 0 to 9.
	Priority int `json:"priority"`
	// MaxWait is how long a request of this class may wait for an engine.
	MaxWait Duration `json:"max_wait"`
	// Deferrable work fills troughs and never displaces other work.
	Deferrable bool `json:"deferrable,omitempty"`
}

// Limits bounds one request.
type Limits struct {
	// MaxBodyBytes bounds a request body; default 8 MiB.
	MaxBodyBytes int64 `json:"max_body_bytes,omitempty"`
	// MaxOutputTokens bounds the tokens one answer may ask for; default 4096.
	MaxOutputTokens int `json:"max_output_tokens,omitempty"`
	// MaxLevels bounds the levels (messages) of a prompt; default 64.
	MaxLevels int `json:"max_levels,omitempty"`
}

// Call is a rule for the calls of a plain service. The first rule that
// matches decides; a call that no rule matches is repeatable only when its
// method is GET, HEAD or OPTIONS.
type Call struct {
	Method string `json:"method"`
	// PathPrefix is matched against the path after /services/S/http.
	PathPrefix string `json:"path_prefix"`
	Repeatable bool   `json:"repeatable"`
	// Timeout bounds the call; default 30s.
	Timeout Duration `json:"timeout,omitempty"`
}

// Budgets bounds extra attempts, in percent of requests.
type Budgets struct {
	// RetryPercent defaults to 10.
	RetryPercent *int `json:"retry_percent,omitempty"`
	// HedgePercent defaults to 5.
	HedgePercent *int `json:"hedge_percent,omitempty"`
}

// Piece is the unit of an engine's prefix cache.
type Piece struct {
	// Bytes of prompt text a piece; default 4000.
	Bytes int `json:"bytes,omitempty"`
}

// Defaults of optional fields.
const (
	DefaultMaxBodyBytes    = 8 << 20
	DefaultMaxOutputTokens = 4096
	DefaultMaxLevels       = 64
	DefaultPieceBytes      = 4000
	DefaultRetryPercent    = 10
	DefaultHedgePercent    = 5
	DefaultCallTimeout     = 30 * time.Second
)

// ClassInteractive and ClassDeferrable are the classes of a document that lists none.
const (
	ClassInteractive = "interactive"
	ClassDeferrable  = "deferrable"
)

// Duration is a time.Duration written as text with a unit, such as "250ms".
type Duration time.Duration

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return errors.New(`a duration is text with a unit, such as "250ms"`)
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return errors.Newf("%q is not a duration; write it with a unit, such as \"250ms\"", s)
	}
	*d = Duration(v)
	return nil
}

// Revision numbers the accepted versions of one document, from 1.
// Zero means that no document was accepted yet.
type Revision uint64

// Accepted is a document in force under its revision. It is immutable.
type Accepted struct {
	Revision Revision
	Document Document
	// Body is the document as submitted.
	Body []byte
	orgs map[[sha256.Size]byte]int
}

// NewAccepted parses body, applies defaults and prepares it for lookups.
func NewAccepted(rev Revision, body []byte) (*Accepted, error) {
	doc, err := Parse(body)
	if err != nil {
		return nil, err
	}
	a := &Accepted{Revision: rev, Document: doc.withDefaults(), Body: body, orgs: map[[sha256.Size]byte]int{}}
	for i, o := range a.Document.Organisations {
		for _, h := range o.KeySHA256 {
			var sum [sha256.Size]byte
			b, err := hex.DecodeString(h)
			if err != nil {
				return nil, errors.Wrap(err, "key digest")
			}
			copy(sum[:], b)
			a.orgs[sum] = i
		}
	}
	return a, nil
}

// Supersedes reports whether a replaces old; only a greater revision does.
func (a *Accepted) Supersedes(old *Accepted) bool {
	return old == nil || a.Revision > old.Revision
}

// Authenticate returns the organisation whose key is given, or nil.
// The lookup is by digest; the final comparison takes constant time.
func (a *Accepted) Authenticate(key string) *Organisation {
	sum := sha256.Sum256([]byte(key))
	i, ok := a.orgs[sum]
	if !ok {
		return nil
	}
	for _, h := range a.Document.Organisations[i].KeySHA256 {
		b, err := hex.DecodeString(h)
		if err == nil && subtle.ConstantTimeCompare(b, sum[:]) == 1 {
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

// Weights identifies what an engine must have loaded to serve the model.
func (m Model) Weights() string {
	w := m.Name + "@" + m.Version
	if m.Adapter != "" {
		w += "+" + m.Adapter
	}
	return w
}

// WeightsID names what an engine has loaded.
type WeightsID struct{ Name, Version, Adapter string }

// ParseWeights is the reverse of Model.Weights.
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
	if d.Piece.Bytes == 0 {
		d.Piece.Bytes = DefaultPieceBytes
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

// Call returns the rule for a call of a plain service.
func (a *Accepted) Call(method, path string) Call {
	for _, c := range a.Document.Calls {
		if c.Method == method && strings.HasPrefix(path, c.PathPrefix) {
			if c.Timeout == 0 {
				c.Timeout = Duration(DefaultCallTimeout)
			}
			return c
		}
	}
	safe := method == "GET" || method == "HEAD" || method == "OPTIONS"
	return Call{Method: method, PathPrefix: "/", Repeatable: safe, Timeout: Duration(DefaultCallTimeout)}
}
