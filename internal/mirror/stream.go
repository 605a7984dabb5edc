package mirror

import (
	"context"
	"net"
	"time"

	"github.com/verbenabend/verbenabend/internal/platform"
)

const (
	// streamInterval is the maximum interval between two frames of a stream.
	streamInterval = 500 * time.Millisecond
	// maxTombstones bounds the deleted rows that a copy remembers for its followers.
	maxTombstones = 4 << 10
	// unknownAge is copyFrame.AgeMs of a daemon that has not read all tables.
	unknownAge = -1
)

// copyFrame tells a follower what changed since the frame before. Fields are encoded under
// their names.
type copyFrame struct {
	// AgeMs is how long ago the copies were last known to be complete, in milliseconds;
	// unknownAge if it has not read all tables. Then the frame has no tables.
	AgeMs int64
	// AgesMs is AgeMs for each table, by name.
	AgesMs map[string]int64 `msgpack:",omitempty"`
	// Now is the sender's estimate of the store's clock; 0 if it has none.
	Now platform.StoreTime `msgpack:",omitempty"`
	// AnswerMs is how long the store's answers take at the sender, or at the daemon that it
	// follows, in milliseconds.
	AnswerMs int64 `msgpack:",omitempty"`
	// Era is the lowest era of the tables that AgeMs is about; 0 if the store states none.
	Era uint64 `msgpack:",omitempty"`
	// Tables holds all tables in the first frame of a stream, then those with news.
	Tables []copiedTable `msgpack:",omitempty"`
}

// copiedTable is a table, or its changes, in a frame.
type copiedTable struct {
	Table   string
	Version uint64
	Era     uint64 `msgpack:",omitempty"`
	// ReadAt is when the store was last read for this copy, on the store's clock; 0 if
	// unknown.
	ReadAt platform.StoreTime
	// Whole is set if Rows are all rows.
	Whole bool `msgpack:",omitempty"`
	// Count is the number of rows that the sender has, without missing ones.
	Count int
	Rows  []copiedRow `msgpack:",omitempty"`
	// Contacts is platform.Changes.Contacts, for tables whose rows expire.
	Contacts []platform.Contact `msgpack:",omitempty"`
}

// copiedRow is a row with what is known of its first sight.
type copiedRow struct {
	Key     string
	Value   []byte
	Version uint64
	Deleted bool
	// SeenAt is when a daemon that waited for changes read this version, on the store's
	// clock; 0 if none did. SeenAgeMs is how long ago that was, or less.
	SeenAt    platform.StoreTime
	SeenAgeMs int64
	// Missing is set if the store does not have the row: the sender keeps it as it may reappear.
	Missing bool `msgpack:",omitempty"`
}

func (r *copiedRow) change() platform.Change {
	return platform.Change{Key: r.Key, Value: r.Value, Version: r.Version, Deleted: r.Deleted}
}

// knownContacts returns what the sender knows of when the store answered. An earlier version of
// this software states ReadAt only.
func (t *copiedTable) knownContacts() []platform.Contact {
	if len(t.Contacts) == 0 && t.ReadAt != 0 {
		return []platform.Contact{{Since: t.ReadAt, Last: t.ReadAt}}
	}
	return t.Contacts
}

// presentRows returns the rows that the store has.
func (t *copiedTable) presentRows() []platform.Change {
	rows := make([]platform.Change, 0, len(t.Rows))
	for i := range t.Rows {
		if !t.Rows[i].Missing {
			rows = append(rows, t.Rows[i].change())
		}
	}
	return rows
}

// position is how far a follower has a table: by the store's version when the stream
// begins, then by the sender's own count of changes.
type position struct {
	version  uint64
	era      uint64
	revision uint64
	streamed bool
	readAt   platform.StoreTime
}

// changesSince returns the changes since a position, and the next position, which is the
// same if there is no news.
func (m *Mirror) changesSince(p position) (copiedTable, position) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := copiedTable{Table: m.settings.Table, Version: m.at.Version, Era: m.at.Era, Count: len(m.rows) - len(m.missing)}
	if m.rowsExpire() {
		t.Contacts = []platform.Contact{m.statedContact()}
	}
	if m.settings.Clock != nil && m.lastReadAt != 0 {
		t.ReadAt = m.settings.Clock.ToStore(m.lastReadAt)
	}
	if p.streamed {
		t.Whole = p.revision < m.droppedRevision
	} else {
		t.Whole = p.version == 0 || p.version < m.droppedVersion
	}
	t.Whole = t.Whole || p.era != m.at.Era
	next := position{era: m.at.Era, revision: m.revision, streamed: true, readAt: t.ReadAt}
	if p == next && !t.Whole {
		return t, next
	}
	isNew := func(version, revision uint64) bool {
		return t.Whole || p.streamed && revision > p.revision || !p.streamed && version > p.version
	}
	for key, row := range m.rows {
		if isNew(row.Version, m.revisions[key]) {
			t.Rows = append(t.Rows, m.copiedRow(row))
		}
	}
	if !t.Whole {
		for key, x := range m.tombstones {
			if isNew(x.version, x.revision) {
				t.Rows = append(t.Rows, copiedRow{Key: key, Version: x.version, Deleted: true})
			}
		}
	}
	return t, next
}

// copiedRow returns a row for a frame. m.mu must be held.
func (m *Mirror) copiedRow(row platform.Change) copiedRow {
	out := copiedRow{Key: row.Key, Value: row.Value, Version: row.Version, Missing: m.missing[row.Key]}
	if s, ok := m.sights[row.Key]; ok && m.settings.Clock != nil {
		out.SeenAt = s.at
		out.SeenAgeMs = (s.age + m.settings.Clock.Local() - s.noted).Milliseconds()
	}
	return out
}

// statedAge returns an age for a frame. It is rounded up, or daemons that follow each other would make
// their copies newer.
func statedAge(age time.Duration) int64 { return age.Milliseconds() + 1 }

// serveStream sends frames to a follower, which has the given versions of the tables in the
// given eras, until ctx ends or the follower is gone.
func (f *Follower) serveStream(ctx context.Context, conn net.Conn, versions, eras map[string]uint64) {
	positions := map[string]position{}
	for table, version := range versions {
		positions[table] = position{version: version, era: eras[table]}
	}
	silent := time.NewTimer(streamInterval)
	defer silent.Stop()
	for {
		changed := f.changedSignal()
		frame := copyFrame{AgeMs: unknownAge, AnswerMs: f.AnswerTime().Milliseconds(), Era: f.era()}
		if age, known := f.age(); known {
			frame.AgeMs, frame.AgesMs = statedAge(age), map[string]int64{}
			for _, m := range f.mirrors {
				if age, ok := m.Age(); ok && m.settings.MaxAge > 0 {
					frame.AgesMs[m.settings.Table] = statedAge(age)
				}
			}
		}
		if now, ok := f.settings.Clock.Now(); ok {
			frame.Now = f.settings.Clock.ToStore(now)
		}
		for _, m := range f.mirrors {
			if p, wanted := positions[m.settings.Table]; wanted && frame.AgeMs != unknownAge {
				t, next := m.changesSince(p)
				if next != p {
					frame.Tables = append(frame.Tables, t)
				}
				positions[m.settings.Table] = next
			}
		}
		if conn.SetWriteDeadline(time.Now().Add(callTimeout)) != nil || writeFrame(conn, &frame) != nil {
			return
		}
		silent.Reset(streamInterval)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-silent.C:
		}
	}
}
