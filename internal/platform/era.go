package platform

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/verdict"
)

// A store that returns from an older copy of its rows loses the writes since then and issues
// their versions again. It then states an era that is greater by one. An era of 0 is that of a
// store that states none.

// Position is a version of a store in one of its eras. Versions of different eras are not
// comparable.
type Position struct {
	Era     uint64
	Version uint64
}

// Before reports whether p is older than q: of an older era, or of the same one with a lower
// version.
func (p Position) Before(q Position) bool {
	return p.Era < q.Era || p.Era == q.Era && p.Version < q.Version
}

// ErrOldEra reports that a response was discarded because the store has been restored since it
// was sent. A write may have been applied and lost.
var ErrOldEra = errors.New("the response is of an older era of the store")

// ErrEraChanged reports that the conditions of a transaction were read in an older era than the
// one that the store is in. The transaction may have been applied nevertheless, on versions that
// the store issued again.
var ErrEraChanged = errors.New("the store was restored since the conditions were read")

// Eras is what a daemon knows of the store's eras. The zero value knows none. It is safe for
// concurrent use.
type Eras struct {
	mu        sync.Mutex
	current   uint64
	since     time.Time
	listeners []func(era uint64)
}

// Observe records an era that the store or a peer stated, and returns the newest known one. 0 is
// no statement.
func (e *Eras) Observe(era uint64) (current uint64) {
	e.mu.Lock()
	if era <= e.current {
		defer e.mu.Unlock()
		return e.current
	}
	restored := e.current != 0
	e.current, e.since = era, time.Now()
	listeners := e.listeners
	e.mu.Unlock()
	if restored {
		for _, f := range listeners {
			f(era)
		}
	}
	return era
}

// Current returns the newest known era, 0 if there is none, and when it was first seen.
func (e *Eras) Current() (era uint64, since time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current, e.since
}

// OnRestore calls f after each increase of a known era, on the goroutine that observed it.
func (e *Eras) OnRestore(f func(era uint64)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.listeners = append(e.listeners[:len(e.listeners):len(e.listeners)], f)
}

// Accept decides on a response in which the store states an era, or none. It returns the era that
// the response is of, or ErrOldEra if the response must be discarded.
func (e *Eras) Accept(stated uint64, states bool) (era uint64, err error) {
	if !states {
		era, _ = e.Current()
		return era, nil
	}
	if stated < e.Observe(stated) {
		return 0, verdict.Wrap(ErrOldEra, verdict.MayHaveRun, verdict.CodePlatformUnavailable, "call of the store")
	}
	return stated, nil
}

// CheckConditions returns ErrEraChanged, not run, if a transaction whose conditions were read in an
// era must not be sent. 0 is not checked.
func (e *Eras) CheckConditions(era uint64) error {
	if era == 0 || e.Observe(era) == era {
		return nil
	}
	return verdict.Wrap(ErrEraChanged, verdict.NotRun, verdict.CodePlatformUnavailable, "write to the store")
}

// CheckCommitted returns ErrEraChanged if a transaction whose conditions were read in one era was
// applied in another one, where the store had issued their versions again. 0 is not checked.
func CheckCommitted(conditions, committed uint64) error {
	if conditions == 0 || conditions == committed {
		return nil
	}
	return verdict.Wrap(ErrEraChanged, verdict.MayHaveRun, verdict.CodePlatformUnavailable, "write to the store")
}

// CheckPosition returns ErrRestored if the store is not in the era of a position after which
// changes are read.
func (e *Eras) CheckPosition(after Position) error {
	if e.Observe(after.Era) == after.Era {
		return nil
	}
	return verdict.Wrap(ErrRestored, verdict.NotRun, verdict.CodePlatformUnavailable, "read changes from the store")
}

// EraTable is a Table of a store that may state eras.
type EraTable interface {
	Table
	// Eras returns what the client of the store knows of its eras.
	Eras() *Eras
}

// ErasOf returns what is known of the eras of a table's store. It knows none if the store states
// none.
func ErasOf(t Table) *Eras {
	if x, ok := t.(EraTable); ok {
		return x.Eras()
	}
	return &Eras{}
}
