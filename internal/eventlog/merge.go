package eventlog

import (
	"cmp"
	"encoding/json"
	"io"
	"slices"
)

// Merge returns the events of several daemons in causal order: by hybrid logical
// clock, ties by daemon name.
func Merge(lists ...[]Entry) []Entry {
	out := slices.Concat(lists...)
	slices.SortStableFunc(out, func(a, b Entry) int {
		switch {
		case a.At.Before(b.At):
			return -1
		case b.At.Before(a.At):
			return 1
		}
		return cmp.Compare(a.Daemon, b.Daemon)
	})
	return out
}

// WriteJSON writes an event as one line of JSON.
func WriteJSON(w io.Writer, e Entry) error { return json.NewEncoder(w).Encode(e) }
