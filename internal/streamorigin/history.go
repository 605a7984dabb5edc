// Package streamorigin knows by which software version of its service each stream began. Versions
// cannot continue each other's streams and upstreams do not check it, so a stream that is resumed
// at another daemon, or after all daemons were lost, has to go on at its version. While a service
// has one version only, that is known without a record.
package streamorigin

import (
	"maps"
	"slices"
	"time"

	"github.com/verbenabend/verbenabend/internal/platform"
)

// serving is the time of leaving of a version that has not left.
const serving platform.StoreTime = 0

// history holds, by service and software version, when the last upstream of a version left.
type history map[string]map[string]platform.StoreTime

// historyRow is the history as the store keeps it.
type historyRow struct {
	// Era is the store's era in which the row was written. A row of an older era was restored
	// and may lack the newest versions.
	Era uint64 `json:"era,omitempty"`
	// UncertainUntil is until when streams may be resumed that began by versions which the
	// history lacks; 0 if there are none.
	UncertainUntil platform.StoreTime `json:"uncertain_until,omitempty"`
	Services       history            `json:"services"`
}

func (h history) clone() history {
	out := history{}
	for service, versions := range h {
		out[service] = maps.Clone(versions)
	}
	return out
}

func (h history) equal(other history) bool {
	return maps.EqualFunc(h, other, func(a, b map[string]platform.StoreTime) bool { return maps.Equal(a, b) })
}

// add notes versions that serve and reports whether that is news.
func (h history) add(present map[string][]string) (changed bool) {
	for service, versions := range present {
		for _, version := range versions {
			if at, known := h[service][version]; known && at == serving {
				continue
			}
			if h[service] == nil {
				h[service] = map[string]platform.StoreTime{}
			}
			h[service][version], changed = serving, true
		}
	}
	return changed
}

// addMissing adds the versions of another history that this one lacks.
func (h history) addMissing(other history) {
	for service, versions := range other {
		if h[service] == nil {
			h[service] = map[string]platform.StoreTime{}
		}
		for version, at := range versions {
			if _, known := h[service][version]; !known {
				h[service][version] = at
			}
		}
	}
}

// retire notes that versions which are not present have left by now, and forgets those that left
// longer ago than memory.
func (h history) retire(present map[string][]string, now platform.StoreTime, memory time.Duration) {
	for service, versions := range h {
		for version, at := range versions {
			switch {
			case slices.Contains(present[service], version):
			case at == serving:
				versions[version] = now
			case now.Sub(at) > memory:
				delete(versions, version)
			}
		}
		if len(versions) == 0 {
			delete(h, service)
		}
	}
}

// possible returns the versions by which a stream of a service that can still be resumed may
// have begun, sorted.
func (h history) possible(service string, present []string, now platform.StoreTime, memory time.Duration) []string {
	out := slices.Clone(present)
	for version, at := range h[service] {
		if at == serving || now.Sub(at) <= memory {
			out = append(out, version)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}
