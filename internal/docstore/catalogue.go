package docstore

import (
	"fmt"
	"maps"
	"sync"
	"sync/atomic"

	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/servicedoc"
)

// Catalogue holds the documents that a daemon serves by. Readers take an
// immutable snapshot; writers copy it. A document is replaced only by one of a
// greater revision.
type Catalogue struct {
	current atomic.Pointer[map[string]*servicedoc.Accepted]
	log     *eventlog.Log
	changed func(*servicedoc.Accepted)
	mu      sync.Mutex // serialises writers
}

// NewCatalogue returns an empty catalogue. changed, if not nil, is called
// after each adoption, one call at a time.
func NewCatalogue(log *eventlog.Log, changed func(*servicedoc.Accepted)) *Catalogue {
	c := &Catalogue{log: log, changed: changed}
	c.current.Store(&map[string]*servicedoc.Accepted{})
	return c
}

// Get returns the document in force for a service, nil when there is none.
func (c *Catalogue) Get(service string) *servicedoc.Accepted { return (*c.current.Load())[service] }

// Snapshot returns all documents in force by service. It must not be changed.
func (c *Catalogue) Snapshot() map[string]*servicedoc.Accepted { return *c.current.Load() }

// Revision returns the revision in force for a service, 0 when there is none.
func (c *Catalogue) Revision(service string) servicedoc.Revision {
	if a := c.Get(service); a != nil {
		return a.Revision
	}
	return 0
}

// adopt puts a into force unless an equal or greater revision is already.
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
	if c.changed != nil {
		c.changed(a)
	}
	return true
}
