package rollout

import (
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/verbenabend/verbenabend/internal/platform"
)

// GoalRecord is the content of the table row from which starting daemons learn when
// versions were requested. Fields are encoded under their names.
type GoalRecord struct {
	// AsOf is a time at which all requested versions were recorded.
	AsOf platform.StoreTime
	// Models holds, by model, the versions in ascending order.
	Models map[string][]RecordedGoal
	// Nonce identifies the write.
	Nonce string
}

// RecordedGoal is a version and when it was requested.
type RecordedGoal struct {
	Version     int
	RequestedAt platform.StoreTime
	// Bounded is set if nobody saw the version named: RequestedAt is a time before that.
	// Older daemons ignore it and take the version to be as old as that.
	Bounded bool `msgpack:",omitempty"`
}

// Encode returns the row's value.
func (r *GoalRecord) Encode() ([]byte, error) {
	value, err := msgpack.Marshal(r)
	return value, errors.Wrap(err, "encode the record of weight versions")
}

// DecodeGoalRecord decodes a row's value.
func DecodeGoalRecord(value []byte) (GoalRecord, error) {
	var r GoalRecord
	err := msgpack.Unmarshal(value, &r)
	return r, errors.Wrap(err, "decode the record of weight versions")
}

// WithTimes returns the record with other times. UnknownTime stays.
func (r *GoalRecord) WithTimes(convert func(platform.StoreTime) platform.StoreTime) GoalRecord {
	known := func(t platform.StoreTime) platform.StoreTime {
		if t == UnknownTime {
			return t
		}
		return convert(t)
	}
	out := GoalRecord{AsOf: known(r.AsOf), Models: map[string][]RecordedGoal{}, Nonce: r.Nonce}
	for model, goals := range r.Models {
		for _, g := range goals {
			g.RequestedAt = known(g.RequestedAt)
			out.Models[model] = append(out.Models[model], g)
		}
	}
	return out
}

// LatestTime returns the latest time in the record.
func (r *GoalRecord) LatestTime() platform.StoreTime {
	latest := r.AsOf
	for _, goals := range r.Models {
		for _, g := range goals {
			latest = max(latest, g.RequestedAt)
		}
	}
	return latest
}

// WithoutTimes returns the record for a reader that can't tell when its versions were
// requested.
func (r *GoalRecord) WithoutTimes() GoalRecord {
	out := GoalRecord{AsOf: UnknownTime, Models: map[string][]RecordedGoal{}, Nonce: r.Nonce}
	for model, goals := range r.Models {
		for _, g := range goals {
			out.Models[model] = append(out.Models[model], RecordedGoal{g.Version, UnknownTime, true})
		}
	}
	return out
}

// Contains reports whether a version of a model is recorded.
func (r *GoalRecord) Contains(model string, version int) bool {
	return slices.ContainsFunc(r.Models[model], func(g RecordedGoal) bool { return g.Version == version })
}

// Recorded returns the dated versions for a GoalRecord, without those that were
// superseded before a time. There are none if operators request no version and the
// last one is older than that.
func (h *GoalHistory) Recorded(before platform.StoreTime) []RecordedGoal {
	var out []RecordedGoal
	for _, goal := range h.goals {
		if !goal.dated {
			continue
		}
		if goal.requestedAt < before {
			out = out[:0]
		}
		out = append(out, RecordedGoal{goal.version, goal.requestedAt, goal.bounded})
	}
	if h.newest == 0 && len(out) == 1 && out[0].RequestedAt < before {
		return nil
	}
	return out
}
