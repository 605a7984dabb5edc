package docstore

import (
	"context"
	"crypto/sha256"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/backoff"
	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/platform"
	"github.com/verbenabend/verbenabend/internal/servicedoc"
)

const (
	// DefaultInterval is the pause between two reads of the change counter.
	DefaultInterval = time.Second
	// headScanInterval is the pause between two scans of the object store
	// while the table does not answer.
	headScanInterval = 3 * time.Second
	// headGrace is how long an adopting daemon leaves the submitter to put
	// the head object before it does so itself.
	headGrace = 500 * time.Millisecond
	// listRows bounds one read of the services' rows.
	listRows = 256
)

// Poller brings accepted documents into force at one daemon, from the table,
// the object store and the peers.
type Poller struct {
	table     platform.Table
	objects   platform.Objects
	catalogue *Catalogue
	announcer *Announcer
	log       *eventlog.Log
	interval  time.Duration

	// seen is the change count up to which all documents were adopted.
	seen uint64
	// synced is set once a source answered with all documents.
	synced      bool
	nextScan    time.Time
	lastContact atomic.Int64 // Unix nanoseconds, 0 for never

	mu     sync.Mutex
	wanted map[string]servicedoc.Revision // announced by peers without a body
	wake   chan struct{}
}

// NewPoller returns a Poller that adopts into catalogue; an interval of 0
// selects DefaultInterval.
func NewPoller(table platform.Table, objects platform.Objects, catalogue *Catalogue, announcer *Announcer, interval time.Duration, log *eventlog.Log) *Poller {
	if interval == 0 {
		interval = DefaultInterval
	}
	p := &Poller{
		table: table, objects: objects, catalogue: catalogue, announcer: announcer, log: log, interval: interval,
		wanted: map[string]servicedoc.Revision{}, wake: make(chan struct{}, 1),
	}
	announcer.subscribe(p.announced)
	return p
}

// LastContact returns when the platform last answered, zero for never.
func (p *Poller) LastContact() time.Time {
	n := p.lastContact.Load()
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n)
}

// Start reads all documents once: from the table or, when it does not answer,
// from the object store. What peers announced is adopted already. An error
// means that neither gave a complete answer; Run goes on trying.
func (p *Poller) Start(ctx context.Context) error {
	err := p.poll(ctx)
	if err == nil {
		return nil
	}
	return p.scanAfter(ctx, err)
}

// Run polls until ctx ends.
func (p *Poller) Run(ctx context.Context) error {
	timer := time.NewTimer(backoff.Jitter(p.interval))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.wake:
			p.fetchWanted(ctx)
		case <-timer.C:
			p.step(ctx)
			timer.Reset(backoff.Around(p.interval))
		}
	}
}

func (p *Poller) step(ctx context.Context) {
	err := p.poll(ctx)
	if err != nil && !time.Now().Before(p.nextScan) {
		p.nextScan = time.Now().Add(backoff.Around(headScanInterval))
		_ = p.scanAfter(ctx, err)
	}
	p.fetchWanted(ctx)
}

// poll reads the change counter and adopts what changed since the last time.
func (p *Poller) poll(ctx context.Context) error {
	counter, _, err := readCounter(ctx, p.table)
	if err != nil {
		return err
	}
	p.contact()
	if counter.Changes == p.seen {
		p.synced = true
		return nil
	}
	changes, ok := counter.since(p.seen)
	if !ok || !p.synced {
		changes, err = p.listAll(ctx)
		if err != nil {
			return err
		}
	}
	if err := p.adoptNewest(ctx, changes); err != nil {
		return err
	}
	p.seen, p.synced = counter.Changes, true
	return nil
}

// listAll returns the submission in force of each service.
func (p *Poller) listAll(ctx context.Context) ([]submission, error) {
	var list []submission
	after := ""
	for {
		rows, err := p.listPage(ctx, after)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			r, err := decodeRevisionRow(row.Value)
			if err != nil {
				return nil, err
			}
			list = append(list, r.inForce())
		}
		if len(rows) < listRows {
			return list, nil
		}
		after = rows[len(rows)-1].Key
	}
}

func (p *Poller) listPage(ctx context.Context, after string) ([]platform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
	defer cancel()
	return p.table.List(ctx, revisionPrefix, after, listRows)
}

// adoptNewest adopts the newest submission of each service in the list. It
// goes on after a failure and returns the first error.
func (p *Poller) adoptNewest(ctx context.Context, list []submission) error {
	newest := map[string]submission{}
	for _, s := range list {
		if s.Revision > newest[s.Service].Revision {
			newest[s.Service] = s
		}
	}
	var first error
	for _, s := range newest {
		if err := p.adoptSubmission(ctx, s); err != nil && first == nil {
			first = err
		}
	}
	return first
}

// adoptSubmission adopts an accepted submission, after making sure that its
// head object exists.
func (p *Poller) adoptSubmission(ctx context.Context, s submission) error {
	if p.catalogue.Revision(s.Service) >= s.Revision {
		return nil
	}
	h, err := p.readHead(ctx, s.Service, s.Revision)
	if errors.Is(err, platform.ErrNotFound) && backoff.Sleep(ctx, backoff.Jitter(headGrace)) == nil {
		h, err = p.readHead(ctx, s.Service, s.Revision)
	}
	if errors.Is(err, platform.ErrNotFound) {
		h, err = p.completeHead(ctx, s)
	}
	if err != nil {
		return err
	}
	p.adoptHead(h)
	return nil
}

func (p *Poller) readHead(ctx context.Context, service string, rev servicedoc.Revision) (head, error) {
	b, err := p.readObject(ctx, headKey(service, rev))
	if err != nil {
		return head{}, err
	}
	return decodeHead(b)
}

// completeHead puts the head that the submitter has not put.
func (p *Poller) completeHead(ctx context.Context, s submission) (head, error) {
	body, err := p.readObject(ctx, s.bodyKey())
	if err != nil {
		return head{}, err
	}
	if sha256.Sum256(body) != s.Digest {
		return head{}, errors.Newf("the body of %s revision %d does not match its digest", s.Service, s.Revision)
	}
	h := head{Format: format, Submission: s, Body: body}
	return h, putOnce(ctx, p.objects, headKey(s.Service, s.Revision), mustEncode(&h))
}

func (p *Poller) readObject(ctx context.Context, key string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
	defer cancel()
	return p.objects.Get(ctx, key)
}

// adoptHead adopts a document. One that this version can't read is reported
// and passed over: the one in force stays.
func (p *Poller) adoptHead(h head) {
	a, err := h.accepted()
	if err != nil {
		detail := fmt.Sprintf("revision %d is not readable by this version: %v", h.Submission.Revision, err)
		p.log.Emit(eventlog.DocumentReject, eventlog.Fields{Service: h.Submission.Service, Detail: detail})
		return
	}
	if p.catalogue.adopt(a) {
		p.announcer.Announce(a)
	}
}

// scanAfter reads all documents from the object store, because the table
// failed with cause.
func (p *Poller) scanAfter(ctx context.Context, cause error) error {
	if err := p.scanHeads(ctx); err != nil {
		return errors.WithSecondaryError(cause, err)
	}
	return nil
}

// scanHeads adopts the document of the greatest revision of each service. A
// head that can't be read is an error: an older one is never taken in its place.
func (p *Poller) scanHeads(ctx context.Context) error {
	ctxList, cancel := context.WithTimeout(ctx, platform.CallTimeout)
	defer cancel()
	keys, err := p.objects.List(ctxList, headPrefix)
	if err != nil {
		return err
	}
	p.contact()
	var first error
	for service, rev := range greatestHeads(keys) {
		if err := p.adoptRevision(ctx, service, rev); err != nil && first == nil {
			first = err
		}
	}
	return first
}

func greatestHeads(keys []string) map[string]servicedoc.Revision {
	greatest := map[string]servicedoc.Revision{}
	for _, key := range keys {
		service, rev, ok := parseHeadKey(key)
		if ok {
			greatest[service] = max(greatest[service], rev)
		}
	}
	return greatest
}

func (p *Poller) adoptRevision(ctx context.Context, service string, rev servicedoc.Revision) error {
	if p.catalogue.Revision(service) >= rev {
		return nil
	}
	h, err := p.readHead(ctx, service, rev)
	if err != nil {
		return err
	}
	p.adoptHead(h)
	return nil
}

// announced handles a peer's announcement. It does not block.
func (p *Poller) announced(service string, rev servicedoc.Revision, body []byte) {
	if p.catalogue.Revision(service) >= rev {
		return
	}
	if a, err := parseAccepted(service, rev, body); len(body) > 0 && err == nil {
		p.catalogue.adopt(a)
		return
	}
	p.mu.Lock()
	p.wanted[strings.Clone(service)] = max(p.wanted[service], rev)
	p.mu.Unlock()
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// fetchWanted fetches what peers announced without a body. What fails is
// tried again at the next step.
func (p *Poller) fetchWanted(ctx context.Context) {
	p.mu.Lock()
	wanted := p.wanted
	p.wanted = map[string]servicedoc.Revision{}
	p.mu.Unlock()
	for service, rev := range wanted {
		if p.adoptRevision(ctx, service, rev) != nil {
			p.mu.Lock()
			p.wanted[service] = max(p.wanted[service], rev)
			p.mu.Unlock()
		}
	}
}

func (p *Poller) contact() { p.lastContact.Store(time.Now().UnixNano()) }
