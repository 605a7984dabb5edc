package servicedoc

import (
	"encoding/hex"
	"fmt"
	"regexp"
	"slices"
	"strings"

	"github.com/verbenabend/verbenabend/internal/strictjson"
)

// Limits that validation enforces.
const (
	maxOrganisations = 10_000
	maxModels        = 256
	maxPriority      = 9
	maxBlockBytes    = 1 << 20
	maxPercent       = 100
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// ValidName reports whether s may name a service, an organisation or a data centre.
func ValidName(s string) bool { return namePattern.MatchString(s) }

// Parse decodes and validates a document. The error is a strictjson.Faults that
// lists every fault.
func Parse(body []byte) (*Document, error) {
	var d Document
	faults := strictjson.Decode(body, &d)
	d.validate(&faults)
	if err := faults.Err(); err != nil {
		return nil, err
	}
	return &d, nil
}

func (d *Document) validate(f *strictjson.Faults) {
	// reported tells whether decoding already reported a fault at path, so that
	// the zero value it left is not reported again.
	reported := func(path string) bool {
		return slices.ContainsFunc(*f, func(fault strictjson.Fault) bool { return strings.HasPrefix(fault.Path, path) || fault.Path == "$" })
	}
	if !reported("$.service") && !ValidName(d.Service) {
		f.Add("$.service", "%q is not a service name: 1 to 63 lower-case letters, digits and inner dashes", d.Service)
	}
	if !reported("$.kind") && d.Kind != KindModel && d.Kind != KindPlain {
		f.Add("$.kind", `%q is not a kind: want "model" or "plain"`, d.Kind)
	}
	if !reported("$.organisations") {
		d.validateOrganisations(f)
	}
	if !reported("$.models") {
		d.validateModels(f)
	}
	if !reported("$.classes") {
		d.validateClasses(f)
	}
	if !reported("$.calls") {
		d.validateCalls(f)
	}
	if !reported("$.data_centres") {
		d.validateDataCentres(f)
	}
	d.validateNumbers(f)
}

func (d *Document) validateOrganisations(f *strictjson.Faults) {
	if len(d.Organisations) == 0 || len(d.Organisations) > maxOrganisations {
		f.Add("$.organisations", "want 1 to %d organisations, got %d", maxOrganisations, len(d.Organisations))
	}
	names := map[string]int{}
	keys := map[string]int{}
	for i, o := range d.Organisations {
		path := fmt.Sprintf("$.organisations[%d]", i)
		if !ValidName(o.Name) {
			f.Add(path+".name", "%q is not a name: 1 to 63 lower-case letters, digits and inner dashes", o.Name)
		}
		if first, duplicate := names[o.Name]; duplicate {
			f.Add(path+".name", "%q is already used at $.organisations[%d]", o.Name, first)
		}
		names[o.Name] = i
		if o.Share < 0 {
			f.Add(path+".share", "want a positive share, got %d", o.Share)
		}
		if len(o.KeySHA256) == 0 {
			f.Add(path+".key_sha256", "want at least one key digest")
		}
		for j, keyDigest := range o.KeySHA256 {
			keyPath := fmt.Sprintf("%s.key_sha256[%d]", path, j)
			if b, err := hex.DecodeString(keyDigest); err != nil || len(b) != 32 {
				f.Add(keyPath, "want the SHA-256 digest of a key as 64 hexadecimal digits")
				continue
			}
			if first, duplicate := keys[strings.ToLower(keyDigest)]; duplicate && first != i {
				f.Add(keyPath, "the same key belongs to $.organisations[%d]", first)
			}
			keys[strings.ToLower(keyDigest)] = i
		}
	}
}

func (d *Document) validateModels(f *strictjson.Faults) {
	switch {
	case d.Kind == KindModel && len(d.Models) == 0:
		f.Add("$.models", "a model service needs at least one model")
	case d.Kind == KindPlain && len(d.Models) > 0:
		f.Add("$.models", "a plain service has no models")
	case len(d.Models) > maxModels:
		f.Add("$.models", "want at most %d models, got %d", maxModels, len(d.Models))
	}
	names := map[string]int{}
	for i, m := range d.Models {
		path := fmt.Sprintf("$.models[%d]", i)
		if m.Name == "" || strings.ContainsAny(m.Name, "@+ \t\n") {
			f.Add(path+".name", "%q is not a model name: it must not be empty or contain '@', '+' or white space", m.Name)
		}
		if m.Version == "" || strings.ContainsAny(m.Version, "@+ \t\n") {
			f.Add(path+".version", "%q is not a version: it must not be empty or contain '@', '+' or white space", m.Version)
		}
		if first, duplicate := names[m.Name]; duplicate {
			f.Add(path+".name", "%q is already used at $.models[%d]", m.Name, first)
		}
		names[m.Name] = i
	}
}

func (d *Document) validateClasses(f *strictjson.Faults) {
	names := map[string]int{}
	for i, c := range d.Classes {
		path := fmt.Sprintf("$.classes[%d]", i)
		if !ValidName(c.Name) {
			f.Add(path+".name", "%q is not a name: 1 to 63 lower-case letters, digits and inner dashes", c.Name)
		}
		if first, duplicate := names[c.Name]; duplicate {
			f.Add(path+".name", "%q is already used at $.classes[%d]", c.Name, first)
		}
		names[c.Name] = i
		if c.Priority < 0 || c.Priority > maxPriority {
			f.Add(path+".priority", "want 0 to %d, got %d", maxPriority, c.Priority)
		}
		if c.MaxWait <= 0 {
			f.Add(path+".max_wait", `want a positive duration, such as "2s"`)
		}
	}
}

func (d *Document) validateCalls(f *strictjson.Faults) {
	if d.Kind == KindModel && len(d.Calls) > 0 {
		f.Add("$.calls", "only a plain service may list calls")
	}
	for i, c := range d.Calls {
		path := fmt.Sprintf("$.calls[%d]", i)
		if c.Method == "" || c.Method != strings.ToUpper(c.Method) {
			f.Add(path+".method", "%q is not an HTTP method in upper case, such as POST", c.Method)
		}
		if !strings.HasPrefix(c.PathPrefix, "/") {
			f.Add(path+".path_prefix", "%q must start with /", c.PathPrefix)
		}
		if c.Timeout < 0 {
			f.Add(path+".timeout", "must not be negative")
		}
	}
}

func (d *Document) validateDataCentres(f *strictjson.Faults) {
	for i, dc := range d.DataCentres {
		if !ValidName(dc) {
			f.Add(fmt.Sprintf("$.data_centres[%d]", i), "%q is not a data centre name: 1 to 63 lower-case letters, digits and inner dashes", dc)
		}
	}
}

func (d *Document) validateNumbers(f *strictjson.Faults) {
	if d.Limits.MaxBodyBytes < 0 {
		f.Add("$.limits.max_body_bytes", "must not be negative")
	}
	if d.Limits.MaxOutputTokens < 0 {
		f.Add("$.limits.max_output_tokens", "must not be negative")
	}
	if d.Limits.MaxLevels < 0 {
		f.Add("$.limits.max_levels", "must not be negative")
	}
	if d.CacheBlock.Bytes < 0 || d.CacheBlock.Bytes > maxBlockBytes {
		f.Add("$.piece.bytes", "want 1 to %d bytes, got %d", maxBlockBytes, d.CacheBlock.Bytes)
	}
	for _, b := range []struct {
		path  string
		value *int
	}{{"$.budgets.retry_percent", d.Budgets.RetryPercent}, {"$.budgets.hedge_percent", d.Budgets.HedgePercent}} {
		if b.value != nil && (*b.value < 0 || *b.value > maxPercent) {
			f.Add(b.path, "want 0 to %d percent, got %d", maxPercent, *b.value)
		}
	}
}
