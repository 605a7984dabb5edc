package streamorigin

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/singleflight"

	"github.com/verbenabend/verbenabend/internal/backoff"
	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/platform"
)

const (
	// keyPrefix begins the keys of all rows, so that one call reads them: historyKey, and
	// streamsPrefix and the name of a daemon's process.
	keyPrefix     = "stream"
	historyKey    = "stream-versions"
	streamsPrefix = "streams/"
	pageRows      = 500

	// minWriteInterval and writeIntervalPerDaemon give the interval between two writes of a
	// daemon's streams while a service has several versions: 100 a second for all daemons.
	minWriteInterval       = 50 * time.Millisecond
	writeIntervalPerDaemon = 10 * time.Millisecond
	// checkInterval is the interval between checks of the versions.
	checkInterval = time.Second
	// startDelayPerDaemon spreads the first reads of daemons that start together, and their
	// writes of a version that all see at the same time.
	startDelayPerDaemon = 2 * time.Millisecond
	// readTimeout limits the read for a request that resumes a stream.
	readTimeout = 500 * time.Millisecond
	// SettleTime is how long the first upstreams of a new version begin no streams: the time
	// in which all daemons learn of them from the list of upstreams or from each other, or
	// notice that they are not in contact.
	SettleTime = 1200 * time.Millisecond
	// flushWait is how long a daemon whose caller left may take to write that stream.
	flushWait = 100 * time.Millisecond
	// maxUnrecordedTime is how long a version begins no streams while this daemon cannot tell
	// that it is recorded: its upstreams may be most of a service.
	maxUnrecordedTime = 2 * time.Second
	// maxReadInterval bounds the minimum interval between two reads for requests, which is
	// otherwise that between writes.
	maxReadInterval = 200 * time.Millisecond
	// firstStartTime is how long after the first start no version can have been lost.
	firstStartTime = 5 * time.Second
	// resumeMargin is added to the time until which a stream may be resumed.
	resumeMargin = 2 * time.Second
)

// failureBackoff is the backoff of calls of the store that fail.
var failureBackoff = backoff.Policy{Min: 100 * time.Millisecond, Max: time.Second}

// ErrUnknown is the error of a stream of which it is not known by which of its service's software
// versions it began.
var ErrUnknown = errors.New("the software version that began the stream is not known")

// errNotRecorded is the reason if the store has no record of the stream.
var errNotRecorded = errors.New("no daemon has recorded it")

// Settings configures a Keeper.
type Settings struct {
	// Process names this run of the daemon: its rows outlive it.
	Process string
	// Table keeps what must outlive the daemons.
	Table platform.Table
	// Now returns the time on the store's clock; ok is false if it is unknown.
	Now func() (now platform.StoreTime, ok bool)
	// FirstStart says that no daemon has run before.
	FirstStart bool
	// ListIsCurrent reports whether the list of upstreams has all versions that began streams
	// at daemons which this one may not hear of.
	ListIsCurrent func() bool
	// Rank returns the place of this daemon among all that live, from 0 on, and their number.
	Rank func() (rank, daemons int)
	// AskPeers asks other daemons for the origin of a stream, for want of the store.
	AskPeers func(ctx context.Context, s Stream) (software string, known bool)
	// OnVersion is called with each version that this daemon sees for the first time.
	OnVersion func(service, software string)
	// OnFind is called with whether the origin of a stream that is resumed is known.
	OnFind func(known bool)
	// OnChange is called when other versions may begin streams than before.
	OnChange func()
}

// Keeper keeps the origins of streams: those that this daemon began in memory and, while a
// service has several software versions, in the store. It is safe for concurrent use.
type Keeper struct {
	settings  Settings
	log       *eventlog.Log
	startedAt time.Time
	wake      chan struct{}
	// reads shares the reads for requests, of which the last began at readAt.
	reads  singleflight.Group
	readAt time.Time
	// readFailing is set while reads for requests fail.
	readFailing atomic.Bool
	// reading is held while rows are read and adopted, so that an older read cannot replace
	// what a newer one told.
	reading chan struct{}

	mu sync.Mutex
	// present holds the versions of the registered upstreams by service, memory how long a
	// stream may be resumed after its version has left; observed is set once they are known.
	present  map[string][]string
	memory   time.Duration
	observed bool
	// seenAt is when this daemon first saw the present versions, by service and version.
	seenAt map[[2]string]time.Time
	// served holds when versions served last that are not present, by service and version:
	// this daemon saw them leave, or another one told of them.
	served map[[2]string]time.Time
	// recorded is the history as the store has it; historyKnown is set once it was read, in
	// the store's present era. uncertainUntil is that of the row.
	recorded       history
	uncertainUntil platform.StoreTime
	historyKnown   bool
	// beginsAt is when streams may begin at a recorded version, by service and version.
	beginsAt map[[2]string]time.Time
	own      streams
	// unwritten is set while own has streams that its row lacks, urgent if one of them broke.
	unwritten, urgent bool
	// rows are the streams of all daemons as they were last read, by key of the row.
	rows map[string]readRow

	// The fields below are used by Run only.
	writtenAt                      time.Time
	hasRow                         bool
	writeFailures, historyFailures int
}

// readRow is a row and its position.
type readRow struct {
	row
	at platform.Position
}

// NewKeeper returns a Keeper that knows nothing yet.
func NewKeeper(s Settings, log *eventlog.Log) *Keeper {
	return &Keeper{settings: s, log: log, startedAt: time.Now(), wake: make(chan struct{}, 1), reading: make(chan struct{}, 1), recorded: history{}, beginsAt: map[[2]string]time.Time{}, served: map[[2]string]time.Time{}, seenAt: map[[2]string]time.Time{}, own: streams{}, rows: map[string]readRow{}}
}

// Observe sets the software versions of the registered upstreams, by service, and how long a stream
// may be resumed.
func (k *Keeper) Observe(present map[string][]string, memory time.Duration) {
	k.mu.Lock()
	k.noteLeft(present, memory)
	found := k.noteSeen(present)
	k.present, k.memory, k.observed = present, memory, true
	isNews := !k.historyKnown || k.recorded.clone().add(present)
	k.mu.Unlock()
	if isNews {
		k.notify()
		time.AfterFunc(maxUnrecordedTime, k.settings.OnChange)
	}
	for _, id := range found {
		k.settings.OnVersion(id[0], id[1])
	}
}

// Hear notes a version that serves at another daemon's word: the list of upstreams may be late here.
func (k *Keeper) Hear(service, software string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !slices.Contains(k.present[service], software) {
		k.served[[2]string{service, software}] = time.Now()
	}
}

func (k *Keeper) notify() {
	select {
	case k.wake <- struct{}{}:
	default: // Run is already due
	}
}

// MayBegin reports whether streams of a service may begin at a software version: daemons that see
// other versions only would continue them there until they know of it.
func (k *Keeper) MayBegin(service, software string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	id := [2]string{service, software}
	seenAt, seen := k.seenAt[id]
	return k.isEstablished(id) || seen && time.Since(seenAt) >= maxUnrecordedTime
}

// isEstablished reports whether a version is recorded for long enough that all daemons in contact
// know of it. k.mu must be held.
func (k *Keeper) isEstablished(id [2]string) bool {
	at, ok := k.beginsAt[id]
	return ok && !time.Now().Before(at)
}

// Record notes which version began or continued a stream, which may be resumed until a time.
func (k *Keeper) Record(s Stream, software string, until time.Time) {
	k.mu.Lock()
	k.own.add(s.key(), stream{s.Service, software, until.Add(resumeMargin)}, time.Now())
	isNews := !k.unwritten && k.isMixed(s.Service)
	k.unwritten = true
	k.mu.Unlock()
	if isNews {
		k.notify() // Run may wait for longer than until the next write is due
	}
}

// MarkBroken notes that the caller of a stream did not get its end, so that it may resume it at
// once, at another daemon.
func (k *Keeper) MarkBroken(s Stream) {
	k.mu.Lock()
	urgent := k.unwritten && k.isMixed(s.Service)
	k.urgent = k.urgent || urgent
	k.mu.Unlock()
	if urgent {
		k.notify()
	}
}

// Find returns the version that began a stream. known is unset if no version of the service is
// known. The error is ErrUnknown, with the reason.
func (k *Keeper) Find(ctx context.Context, s Stream) (software string, known bool, err error) {
	software, known, err = k.find(ctx, s)
	k.settings.OnFind(err == nil)
	return software, known, err
}

func (k *Keeper) find(ctx context.Context, s Stream) (software string, known bool, err error) {
	software, known, ok := k.findLocally(s)
	if ok {
		return software, known, nil
	}
	// While the store does not answer, peers may know, or read it.
	asked := k.readFailing.Load()
	if asked {
		if software, ok := k.settings.AskPeers(ctx, s); ok {
			return software, true, nil
		}
	}
	software, known, err = k.findInStore(ctx, s)
	if err != nil && k.readFailing.Load() && !asked {
		if software, ok := k.settings.AskPeers(ctx, s); ok {
			return software, true, nil
		}
	}
	if err != nil {
		return "", false, errors.Mark(errors.Wrap(err, ErrUnknown.Error()), ErrUnknown)
	}
	return software, known, nil
}

// FindForPeer returns the version that began a stream, for a daemon that asks for want of the store.
func (k *Keeper) FindForPeer(ctx context.Context, s Stream) (software string, known bool) {
	software, known, ok := k.findLocally(s)
	if ok {
		return software, known
	}
	software, known, err := k.findInStore(ctx, s)
	return software, known && err == nil
}

// findLocally returns the version that began a stream, known as in Find, if this daemon needs
// nobody else to tell it.
func (k *Keeper) findLocally(s Stream) (software string, known, ok bool) {
	if software, ok := k.lookUp(s.key()); ok {
		return software, true, true
	}
	if !k.settings.ListIsCurrent() {
		return "", false, false
	}
	return k.onlyVersion(s.Service)
}

// findInStore reads the rows, and does so once more after a daemon that began the stream a moment
// ago had time to write it.
func (k *Keeper) findInStore(ctx context.Context, s Stream) (software string, known bool, err error) {
	for _, wait := range []time.Duration{0, flushWait} {
		if err := backoff.Sleep(ctx, wait); err != nil {
			return "", false, err
		}
		err := k.readOnce(ctx)
		k.readFailing.Store(err != nil)
		if err != nil {
			return "", false, err
		}
		if software, ok := k.lookUp(s.key()); ok {
			return software, true, nil
		}
		if software, known, only := k.onlyVersion(s.Service); only {
			return software, known, nil
		}
	}
	return "", false, errNotRecorded
}

// lookUp returns what this daemon knows of a stream.
func (k *Keeper) lookUp(key uint64) (software string, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if x, ok := k.own[key]; ok {
		return x.software, true
	}
	for _, r := range k.rows {
		if software, ok := r.find(key); ok {
			return software, true
		}
	}
	return "", false
}

// Restored notes that the store returned from an older copy: it may lack the last writes.
func (k *Keeper) Restored() {
	k.mu.Lock()
	k.historyKnown, k.unwritten = false, true
	k.mu.Unlock()
	k.notify()
}

// Counts returns how many streams this daemon remembers and how many services have several versions.
func (k *Keeper) Counts() (ownStreams, mixedServices int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.own), len(k.mixedServices())
}
