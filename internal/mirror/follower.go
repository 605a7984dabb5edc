package mirror

import (
	"context"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/verbenabend/verbenabend/internal/backoff"
	"github.com/verbenabend/verbenabend/internal/descriptor"
	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/platform"
)

const (
	// maxCopyAge is the age from which on the copies of others do not do, so that this
	// daemon reads the store. Two frames in a row may be late, at this daemon's source and
	// at the one before.
	maxCopyAge = 4 * streamInterval
	// frameTimeout is how long a source may send nothing.
	frameTimeout = 1200 * time.Millisecond
	// startPatience is how long a starting daemon that knows others waits for their copies.
	startPatience = 600 * time.Millisecond
	// turnCheckInterval is the interval between checks of whom to follow.
	turnCheckInterval = 100 * time.Millisecond
	// startCheckInterval is turnCheckInterval until the first copy.
	startCheckInterval = 20 * time.Millisecond
	// rankInterval is the minimum interval between rankings of the known daemons once there
	// is a copy.
	rankInterval = 250 * time.Millisecond
	// minResyncInterval is the minimum time between two requests for whole tables because
	// a copy differs from its source's.
	minResyncInterval = 5 * time.Second
)

// sourceBackoff is how long a source that failed is not followed.
var sourceBackoff = backoff.Policy{Min: 3 * time.Second, Max: 30 * time.Second}

// Clock estimates the store's time.
type Clock interface {
	// Now returns the present time; ok is false if it is unknown.
	Now() (now platform.StoreTime, ok bool)
	// ToStore and FromStore convert times to and from the store's clock.
	ToStore(platform.StoreTime) platform.StoreTime
	FromStore(platform.StoreTime) platform.StoreTime
	// Local returns the time since the Clock was created, also while the machine is
	// suspended.
	Local() time.Duration
	// ObserveRelayed takes a peer's reading.
	ObserveRelayed(platform.StoreTime)
}

// FollowerSettings configures a Follower.
type FollowerSettings struct {
	Self Node
	// Others returns the other daemons that serve copies, as far as they are known.
	Others func() []Node
	// StartHold is how long the daemon waits for others while it knows none.
	StartHold time.Duration
	Policy    SourcePolicy
	// StartPolicy is the policy until the first copy: a daemon that knows few others yet
	// gets it from one of them.
	StartPolicy SourcePolicy
	// Dial connects to another daemon.
	Dial  func(ctx context.Context, network, address string) (net.Conn, error)
	Clock Clock
}

// Follower keeps the copies of a daemon up to date from those of another daemon, so that
// only few daemons read the store. It is safe for concurrent use.
type Follower struct {
	settings FollowerSettings
	log      *eventlog.Log
	mirrors  []*Mirror

	mu        sync.Mutex
	startedAt time.Time
	// confirmedAt is the latest time at which the copies are known to be complete by a
	// source's frame; zero before the first.
	confirmedAt time.Time
	// suspended holds the sources that failed, by address.
	suspended map[string]suspension
	// source is the name of the daemon that is followed, empty if there is none; role is
	// what was last logged of it.
	source, role string
	// resync is set if whole tables have to be requested, resyncAt is when it last was.
	resync   bool
	resyncAt time.Time
	changed  chan struct{}
	// ranked are the policy's sources at rankedAt.
	ranked      []Node
	rankedAt    time.Time
	othersKnown bool
	// reading is whether this daemon reads the store; turn is closed while it does.
	reading bool
	turn    chan struct{}
}

// suspension is the time in which a source is not followed after it failed a number of times
// in a row.
type suspension struct {
	until    time.Time
	failures int
}

// NewFollower returns a Follower of the mirrors, which must not run yet.
func NewFollower(s FollowerSettings, log *eventlog.Log, mirrors ...*Mirror) *Follower {
	f := &Follower{settings: s, log: log, mirrors: mirrors, startedAt: time.Now(), suspended: map[string]suspension{}, changed: make(chan struct{}), turn: make(chan struct{})}
	for _, m := range mirrors {
		m.follower = f
		m.settings.Clock = s.Clock
	}
	return f
}

// changedSignal returns a channel that is closed at the next change of a copy.
func (f *Follower) changedSignal() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

func (f *Follower) notify() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.changed)
	f.changed = make(chan struct{})
}

// sources returns the daemons that this one may follow now.
func (f *Follower) sources(now time.Time) []Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.confirmedAt.IsZero() || now.Sub(f.rankedAt) >= rankInterval {
		policy, others := f.settings.Policy, f.settings.Others()
		if f.confirmedAt.IsZero() && !f.reading {
			policy = f.settings.StartPolicy
		}
		f.ranked, f.rankedAt, f.othersKnown = policy.Sources(f.settings.Self, others), now, len(others) > 0
	}
	var list []Node
	for _, n := range f.ranked {
		if !now.Before(f.suspended[n.Address].until) {
			list = append(list, n)
		}
	}
	return list
}

// mustRead decides whether this daemon has to read the store: it has nobody to follow, or
// what it hears is too old.
func (f *Follower) mustRead(now time.Time) bool {
	sources := f.sources(now)
	f.mu.Lock()
	defer f.mu.Unlock()
	age := now.Sub(f.startedAt)
	switch {
	case len(sources) == 0 && f.confirmedAt.IsZero():
		return f.othersKnown || age >= f.settings.StartHold
	case len(sources) == 0:
		return true
	case f.confirmedAt.IsZero():
		return age >= startPatience
	default:
		return now.Sub(f.confirmedAt) > maxCopyAge
	}
}

// updateTurn decides whether this daemon reads the store from now on.
func (f *Follower) updateTurn() {
	reading := f.mustRead(time.Now())
	f.mu.Lock()
	switch {
	case reading == f.reading:
	case reading:
		close(f.turn)
	default:
		f.turn = make(chan struct{})
	}
	f.reading = reading
	f.mu.Unlock()
	if reading {
		f.logRole("")
	}
}

// watchTurn keeps the decision up to date until ctx ends.
func (f *Follower) watchTurn(ctx context.Context) error {
	for {
		f.updateTurn()
		if err := backoff.Sleep(ctx, f.checkInterval()); err != nil {
			return err
		}
	}
}

func (f *Follower) checkInterval() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.confirmedAt.IsZero() && !f.reading {
		return startCheckInterval
	}
	return turnCheckInterval
}

// isSole reports whether other daemons may follow this one. Of two others, at most one has
// nobody to follow.
func (f *Follower) isSole() bool {
	others := f.settings.Others()
	for i, n := range others[:min(2, len(others))] {
		rest := append(slices.Delete(slices.Clone(others), i, i+1), f.settings.Self)
		if len(f.settings.Policy.Sources(n, rest)) > 0 {
			return true
		}
	}
	return false
}

// waitTurn returns when this daemon has to read the store, or m has been told to.
func (f *Follower) waitTurn(ctx context.Context, m *Mirror) error {
	f.mu.Lock()
	reading, turn := f.reading, f.turn
	f.mu.Unlock()
	if reading {
		return nil
	}
	m.pauseReading()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-turn:
		return nil
	case <-m.recheck:
		return nil
	}
}

// WaitReading returns when this daemon reads the store, for itself or for others.
func (f *Follower) WaitReading(ctx context.Context) error {
	f.mu.Lock()
	turn := f.turn
	f.mu.Unlock()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-turn:
		return nil
	}
}

// Reading reports whether this daemon reads the store, and the name of the daemon that it
// follows otherwise.
func (f *Follower) Reading() (reading bool, source string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reading, f.source
}

// Age returns how long ago the copies were last known to be complete.
func (f *Follower) Age() time.Duration {
	age, known := f.age(time.Now())
	if !known {
		return time.Since(f.startedAt)
	}
	return age
}

// age is Age; known is false if a table has not been read.
func (f *Follower) age(now time.Time) (age time.Duration, known bool) {
	f.mu.Lock()
	reading, confirmedAt := f.reading, f.confirmedAt
	f.mu.Unlock()
	for _, m := range f.mirrors {
		readAge, synced := m.readAge(now)
		if !synced {
			return 0, false
		}
		if reading {
			age = max(age, min(readAge, now.Sub(confirmedAt)))
		}
	}
	if !reading {
		age = now.Sub(confirmedAt)
	}
	return max(age, 0), true
}

// Run follows other daemons whenever there are any to follow, until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return f.watchTurn(ctx) })
	group.Go(func() error { return f.followSources(ctx) })
	return group.Wait()
}

func (f *Follower) followSources(ctx context.Context) error {
	for {
		sources := f.sources(time.Now())
		if len(sources) == 0 {
			if err := backoff.Sleep(ctx, f.checkInterval()); err != nil {
				return err
			}
			continue
		}
		err := f.follow(ctx, sources[0])
		if ctx.Err() != nil {
			return ctx.Err()
		}
		switch {
		case errors.IsAny(err, errBetterSource, errResync):
		case descriptor.IsShortage(err):
			if err := backoff.Sleep(ctx, f.checkInterval()); err != nil {
				return err
			}
		default:
			f.suspend(sources[0], err)
			f.updateTurn()
		}
	}
}

var (
	errBetterSource = errors.New("another source is preferred")
	errStaleSource  = errors.New("the source's copies are too old")
)

// suspend stops following a source for a while.
func (f *Follower) suspend(n Node, err error) {
	now := time.Now()
	f.mu.Lock()
	maps.DeleteFunc(f.suspended, func(_ string, s suspension) bool { return now.Sub(s.until) > sourceBackoff.Max })
	failures := f.suspended[n.Address].failures
	f.suspended[n.Address] = suspension{until: now.Add(sourceBackoff.Delay(failures)), failures: failures + 1}
	followed := f.source == n.Name
	f.source = ""
	f.mu.Unlock()
	if followed {
		f.log.Emit(eventlog.FeedSourceLost, eventlog.Fields{Detail: n.Name + ": " + err.Error() + f.describeAge()})
	}
}

// describeAge returns, for a log line, how old the copies are held to be, and by table how
// long ago the store last answered by its clock, at this daemon or at one that it follows.
func (f *Follower) describeAge() string {
	age, known := f.age(time.Now())
	storeNow, read := f.settings.Clock.Now()
	if !known || !read {
		return ""
	}
	out := fmt.Sprintf("; copies %s old, answers of the store:", age.Round(time.Millisecond))
	for _, m := range f.mirrors {
		m.mu.Lock()
		if m.lastReadAt != 0 {
			out += fmt.Sprintf(" %s %s", m.settings.Table, storeNow.Sub(m.lastReadAt))
		}
		m.mu.Unlock()
	}
	return out
}

// logRole logs whom this daemon follows, or that it reads the store, when that changes.
func (f *Follower) logRole(source string) {
	role := "reads the store"
	if source != "" {
		role = "follows " + source
	}
	f.mu.Lock()
	f.source = source
	changed := f.role != role
	f.role = role
	f.mu.Unlock()
	if changed {
		f.log.Emit(eventlog.FeedSource, eventlog.Fields{Detail: role + f.describeAge()})
	}
}

// follow applies the frames of a source until it fails or another one is preferred.
func (f *Follower) follow(ctx context.Context, source Node) error {
	conn, err := f.settings.Dial(ctx, "tcp", source.Address)
	if err != nil {
		return err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	req, whole := peerRequest{Follow: map[string]uint64{}}, f.takeResync()
	for _, m := range f.mirrors {
		req.Follow[m.settings.Table] = m.copyVersion(whole)
	}
	if err := conn.SetDeadline(time.Now().Add(frameTimeout)); err != nil {
		return err
	}
	if err := writeFrame(conn, &req); err != nil {
		return err
	}
	for streamed := false; ; {
		if err := conn.SetReadDeadline(time.Now().Add(frameTimeout)); err != nil {
			return err
		}
		var frame copyFrame
		if err := readFrame(conn, maxResponseBytes, &frame); err != nil {
			return err
		}
		if err := f.applyFrame(source, &frame, streamed); err != nil {
			return err
		}
		streamed = streamed || frame.AgeMs >= 0
		if sources := f.sources(time.Now()); len(sources) == 0 || sources[0] != source {
			return errBetterSource
		}
	}
}

// takeResync reports whether whole tables have to be requested, and resets it.
func (f *Follower) takeResync() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	resync := f.resync
	f.resync = false
	return resync
}

// errResync ends a stream whose source has other rows than the copy.
var errResync = errors.New("the copy differs from the source's")

// applyFrame applies a frame; streamed is set if it follows one with all tables. It fails if
// the source does not know all tables although there was time for it, or if its knowledge
// is too old.
func (f *Follower) applyFrame(source Node, frame *copyFrame, streamed bool) error {
	now := time.Now()
	f.mu.Lock()
	starting := f.confirmedAt.IsZero() && now.Sub(f.startedAt) < startPatience
	f.mu.Unlock()
	age := time.Duration(frame.AgeMs) * time.Millisecond
	switch {
	case frame.AgeMs < 0 && starting:
		return nil // it starts too and is about to read the tables
	case frame.AgeMs < 0 || age > maxCopyAge || !streamed && len(frame.Tables) != len(f.mirrors):
		return errStaleSource
	}
	if frame.Now != 0 {
		f.settings.Clock.ObserveRelayed(frame.Now)
	}
	for _, m := range f.mirrors {
		for i := range frame.Tables {
			if frame.Tables[i].Table == m.settings.Table && !m.applyCopied(&frame.Tables[i], source.Name) && f.mayResync(now) {
				return errResync
			}
		}
	}
	f.mu.Lock()
	if at := now.Add(-age); at.After(f.confirmedAt) {
		f.confirmedAt = at
	}
	delete(f.suspended, source.Address)
	f.mu.Unlock()
	f.logRole(source.Name)
	return nil
}

func (f *Follower) mayResync(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.resyncAt) < minResyncInterval {
		return false
	}
	f.resync, f.resyncAt = true, now
	return true
}
