package gateway

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/gossip"
	"github.com/verbenabend/verbenabend/internal/mirror"
)

// restoredRecheckSpread is the time over which daemons that read the store and learn that it was
// restored read those tables again whose open reads may not tell for long.
const restoredRecheckSpread = 400 * time.Millisecond

// storeRestored reacts to a store that returned from an older copy of its rows
// (docs/design/0306-store-eras.md). It must not block: the call that told of the era waits for it.
func (d *Daemon) storeRestored(era uint64) {
	d.log.Emit(eventlog.StoreRestored, eventlog.Fields{Detail: fmt.Sprintf("era %d", era)})
	d.goalRecorder.forgetRecorded()
	d.origins.Restored()
	time.AfterFunc(rand.N(restoredRecheckSpread), func() {
		if reading, _ := d.copies.Reading(); reading {
			for _, m := range []*mirror.Mirror{d.operatorMirror, d.sharedMirror, d.recordMirror} {
				m.Recheck()
			}
		}
	})
	go d.recordGoalsAgain()
}

// recordGoalsAgain queues the goals for the row under goalRecordKey, which the store may have lost.
func (d *Daemon) recordGoalsAgain() {
	now, ok := d.storeClock.Now()
	if !ok {
		return
	}
	for _, g := range d.Goals() {
		if g.Version > 0 {
			d.goalRecorder.add(g, now)
		}
	}
}

// eraOfFact returns the value of a fact that is about a row of the store: its era.
func (d *Daemon) eraOfFact() []byte {
	era, _ := d.eras.Current()
	if era == 0 {
		return nil
	}
	return binary.AppendUvarint(nil, era)
}

// isOfCurrentEra reports whether a fact about a row is of the newest known era. Daemons that know
// no eras state none.
func (d *Daemon) isOfCurrentEra(f gossip.Fact) bool {
	era, _ := d.eras.Current()
	stated, _ := binary.Uvarint(f.Value)
	return stated >= era
}
