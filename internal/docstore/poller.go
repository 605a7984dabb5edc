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
	// DefaultPollInterval is the mean pause between two reads of the change counter.
	DefaultPollInterval = time.Second
	// headScanInterval is the mean pause between two scans of the object store
	// while the table can't be read.
	headScanInterval = 3 * time.Second
	// headGracePeriod is how long an adopting daemon waits for the submitter to
	// put the head object before it does so itself.
	headGracePeriod = 500 * time.Millisecond
	// listPageSize is the number of services' rows in one read.
	listPageSize = 256
)

// Poller brings accepted documents from the table, the object store and the
// peers into force at one daemon.
type Poller struct {
	table        platform.Table
	objects      platform.Objects
	catalogue    *Catalogue
	announcer    *Announcer
	log          *eventlog.Log
	pollInterval time.Duration

	// adoptedChanges is the change count up to which all submissions are adopted.
	adoptedChanges uint64
	// synced is set once all documents were read from the table.
	synced      bool
	nextScan    time.Time
	lastContact atomic.Int64 // Unix nanoseconds, 0 for never

	mu             sync.Mutex
	pendingFetches map[string]servicedoc.Revision // announced without a usable body
	wake           chan struct{}
}

// NewPoller returns a Poller that adopts into catalogue; a pollInterval of 0
// selects DefaultPollInterval.
func NewPoller(table platform.Table, objects platform.Objects, catalogue *Catalogue, announcer *Announcer, pollInterval time.Duration, log *eventlog.Log) *Poller {
	if pollInterval == 0 {
		pollInterval = DefaultPollInterval
	}
	p := &Poller{
		table: table, objects: objects, catalogue: catalogue, announcer: announcer, log: log, pollInterval: pollInterval,
		pendingFetches: map[string]servicedoc.Revision{}, wake: make(chan struct{}, 1),
	}
	announcer.subscribe(p.handleAnnouncement)
	return p
}

// LastContact returns when the platform last responded, or the zero time.
func (p *Poller) LastContact() time.Time {
	n := p.lastContact.Load()
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n)
}

// Start reads all documents once: from the table or, when that fails, from the
// object store. Announcements of peers are adopted independently of it. An error
// means that neither source was read completely; Run tries again.
func (p *Poller) Start(ctx context.Context) error {
	err := p.poll(ctx)
	if err == nil {
		return nil
	}
	return p.scanAfterTableError(ctx, err)
}

// Run polls until ctx ends and returns its error.
func (p *Poller) Run(ctx context.Context) error {
	timer := time.NewTimer(backoff.Jitter(p.pollInterval))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.wake:
			p.fetchPending(ctx)
		case <-timer.C:
			p.pollAndFetch(ctx)
			timer.Reset(backoff.JitterInterval(p.pollInterval))
		}
	}
}

func (p *Poller) pollAndFetch(ctx context.Context) {
	err := p.poll(ctx)
	if err != nil && !time.Now().Before(p.nextScan) {
		p.nextScan = time.Now().Add(backoff.JitterInterval(headScanInterval))
		_ = p.scanAfterTableError(ctx, err)
	}
	p.fetchPending(ctx)
}

// poll reads the change counter and adopts the submissions since the last poll.
func (p *Poller) poll(ctx context.Context) error {
	counter, _, err := readCounter(ctx, p.table)
	if err != nil {
		return err
	}
	p.recordContact()
	if counter.Changes == p.adoptedChanges {
		p.synced = true
		return nil
	}
	submissions, ok := counter.submissionsAfter(p.adoptedChanges)
	if !ok || !p.synced {
		submissions, err = p.listInForce(ctx)
		if err != nil {
			return err
		}
	}
	if err := p.adoptNewest(ctx, submissions); err != nil {
		return err
	}
	p.adoptedChanges, p.synced = counter.Changes, true
	return nil
}

// listInForce returns each service's submission in force.
func (p *Poller) listInForce(ctx context.Context) ([]submission, error) {
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
		if len(rows) < listPageSize {
			return list, nil
		}
		after = rows[len(rows)-1].Key
	}
}

func (p *Poller) listPage(ctx context.Context, after string) ([]platform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
	defer cancel()
	return p.table.List(ctx, revisionPrefix, after, listPageSize)
}

// adoptNewest adopts the newest submission of each service in the list. It
// continues after a failure and returns the first error.
func (p *Poller) adoptNewest(ctx context.Context, list []submission) error {
	newest := map[string]submission{}
	for _, s := range list {
		if s.Revision > newest[s.Service].Revision {
			newest[s.Service] = s
		}
	}
	var firstErr error
	for _, s := range newest {
		if err := p.adoptSubmission(ctx, s); err != nil && firstErr == nil {
			firstErr = err
		}
	}
	return firstErr
}

// adoptSubmission adopts an accepted submission after ensuring that its head
// object exists.
func (p *Poller) adoptSubmission(ctx context.Context, s submission) error {
	if p.catalogue.Revision(s.Service) >= s.Revision {
		return nil
	}
	h, err := p.readHead(ctx, s.Service, s.Revision)
	if errors.Is(err, platform.ErrNotFound) && backoff.Sleep(ctx, backoff.Jitter(headGracePeriod)) == nil {
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

// completeHead puts the head object on behalf of the submitter.
func (p *Poller) completeHead(ctx context.Context, s submission) (head, error) {
	body, err := p.readObject(ctx, s.bodyKey())
	if err != nil {
		return head{}, err
	}
	if sha256.Sum256(body) != s.Digest {
		return head{}, errors.Newf("the stored body of %s revision %d does not match its digest", s.Service, s.Revision)
	}
	h := head{Format: storedFormat, Submission: s, Body: body}
	return h, putOnce(ctx, p.objects, headKey(s.Service, s.Revision), mustEncode(&h))
}

func (p *Poller) readObject(ctx context.Context, key string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
	defer cancel()
	return p.objects.Get(ctx, key)
}

// adoptHead adopts a head's document. One that this software version can't read
// is logged and skipped; the one in force stays.
func (p *Poller) adoptHead(h head) {
	a, err := h.accepted()
	if err != nil {
		detail := fmt.Sprintf("revision %d can't be read by this software version: %v", h.Submission.Revision, err)
		p.log.Emit(eventlog.DocumentRejected, eventlog.Fields{Service: h.Submission.Service, Detail: detail})
		return
	}
	if p.catalogue.adopt(a) {
		p.announcer.Announce(a)
	}
}

// scanAfterTableError reads all documents from the object store after a read of
// the table failed with tableErr. It returns nil when the scan is complete.
func (p *Poller) scanAfterTableError(ctx context.Context, tableErr error) error {
	if err := p.scanHeads(ctx); err != nil {
		return errors.WithSecondaryError(tableErr, err)
	}
	return nil
}

// scanHeads adopts the greatest revision of each service's heads. A head that
// can't be read is an error: no older one is used instead.
func (p *Poller) scanHeads(ctx context.Context) error {
	listCtx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
	defer cancel()
	keys, err := p.objects.List(listCtx, headPrefix)
	if err != nil {
		return err
	}
	p.recordContact()
	var firstErr error
	for service, rev := range greatestHeads(keys) {
		if err := p.adoptRevision(ctx, service, rev); err != nil && firstErr == nil {
			firstErr = err
		}
	}
	return firstErr
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

// handleAnnouncement adopts the document of a peer's announcement or, when it
// has no usable body, queues it for fetchPending. It does not block.
func (p *Poller) handleAnnouncement(service string, rev servicedoc.Revision, body []byte) {
	if p.catalogue.Revision(service) >= rev {
		return
	}
	if a, err := parseAccepted(service, rev, body); len(body) > 0 && err == nil {
		p.catalogue.adopt(a)
		return
	}
	p.mu.Lock()
	p.pendingFetches[strings.Clone(service)] = max(p.pendingFetches[service], rev)
	p.mu.Unlock()
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// fetchPending fetches the queued documents from the object store. Those that
// fail are queued again for the next poll.
func (p *Poller) fetchPending(ctx context.Context) {
	p.mu.Lock()
	pending := p.pendingFetches
	p.pendingFetches = map[string]servicedoc.Revision{}
	p.mu.Unlock()
	for service, rev := range pending {
		if p.adoptRevision(ctx, service, rev) != nil {
			p.mu.Lock()
			p.pendingFetches[service] = max(p.pendingFetches[service], rev)
			p.mu.Unlock()
		}
	}
}

func (p *Poller) recordContact() { p.lastContact.Store(time.Now().UnixNano()) }
