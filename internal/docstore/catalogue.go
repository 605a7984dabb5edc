package docstore

import (
	"fmt"
	"maps"
	"sync"
	"sync/atomic"

	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/servicedoc"
)

// Catalogue holds the documents in force at a daemon. Readers get an immutable
// snapshot, writers copy it. A document is replaced only by one of a greater
// revision.
type Catalogue struct {
	current   atomic.Pointer[map[string]*servicedoc.Accepted]
	log       *eventlog.Log
	onAdopted func(*servicedoc.Accepted)
	mu        sync.Mutex // serialises writers
}

// NewCatalogue returns an empty catalogue. onAdopted, if not nil, is called
// after each adopted document, one call at a time.
func NewCatalogue(log *eventlog.Log, onAdopted func(*servicedoc.Accepted)) *Catalogue {
	c := &Catalogue{log: log, onAdopted: onAdopted}
	c.current.Store(&map[string]*servicedoc.Accepted{})
	return c
}

// Get returns the document in force for a service, or nil.
func (c *Catalogue) Get(service string) *servicedoc.Accepted { return (*c.current.Load())[service] }

// Snapshot returns all documents in force by service; callers must not modify it.
func (c *Catalogue) Snapshot() map[string]*servicedoc.Accepted { return *c.current.Load() }

// Revision returns the revision in force for a service, 0 when there is none.
func (c *Catalogue) Revision(service string) servicedoc.Revision {
	if a := c.Get(service); a != nil {
		return a.Revision
	}
	return 0
}

// adopt puts a into force and reports true, unless an equal or greater revision
// is in force already.
func (c *Catalogue) adopt(a *servicedoc.Accepted) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	service := a.Document.Service
	old := *c.current.Load()
	if !a.Supersedes(old[service]) {
		return false
	}
	next := maps.Clone(old)
	next[service] = a
	c.current.Store(&next)
	c.log.Emit(eventlog.DocumentAdopted, eventlog.Fields{Service: service, Detail: fmt.Sprintf("revision %d", a.Revision)})
	if c.onAdopted != nil {
		c.onAdopted(a)
	}
	return true
}
