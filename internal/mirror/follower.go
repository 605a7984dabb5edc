package mirror

import (
	"context"
	"maps"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/verbenabend/verbenabend/internal/backoff"
	"github.com/verbenabend/verbenabend/internal/descriptor"
	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/platform"
)

const (
	// maxFrameInterval is how long a source may send nothing.
	maxFrameInterval = 1200 * time.Millisecond
	// startPatience is how long a starting daemon that knows others waits for their copies.
	startPatience = 600 * time.Millisecond
	// turnCheckInterval is the maximum interval between checks of whom to follow,
	// minTurnCheckInterval the minimum.
	turnCheckInterval    = 100 * time.Millisecond
	minTurnCheckInterval = 5 * time.Millisecond
	// minConfirmation is the least advance of the time of confirmation that is passed on at
	// once. It lets daemons that follow each other pass nothing on.
	minConfirmation = 50 * time.Millisecond
	// startCheckInterval is turnCheckInterval until the first copy.
	startCheckInterval = 20 * time.Millisecond
	// rankInterval is the minimum interval between rankings of the known daemons once there
	// is a copy.
	rankInterval = 250 * time.Millisecond
	// longTurnAge is how long a daemon reads the store before it reads the tables without a maximum
	// age, unless it is the one next in turn.
	longTurnAge = 3 * time.Second
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
	// Protocols handles connections that peers open for other protocols, by name. The
	// connection is closed when a handler returns, or when Serve ends.
	Protocols map[string]func(conn net.Conn, peer string)
	// Eras is told the eras that other daemons state; may be nil.
	Eras *platform.Eras
}

// Follower keeps the copies of a daemon up to date from those of another daemon, so that
// only few daemons read the store. It is safe for concurrent use.
type Follower struct {
	settings FollowerSettings
	log      *eventlog.Log
	mirrors  []*Mirror

	mu        sync.Mutex
	startedAt time.Time
	// sourceAt is the latest time, as Clock.Local, at which the copies are known to have been
	// complete by a source's frame; sourced is unset before the first.
	sourceAt time.Duration
	sourced  bool
	// sourceAnswerTime is how long answers of the store take at the source, by its last frame, which
	// came at heardAt.
	sourceAnswerTime time.Duration
	heardAt          time.Time
	// passedOn is the time of confirmation, as Clock.Local, that followers were told last.
	passedOn time.Duration
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
	ranked   []Node
	rankedAt time.Time
	// others is how many others were known then.
	others atomic.Int64
	// reading is whether this daemon reads the store, since readingSince; turn is closed while it
	// does, longTurn while it also reads the tables without a maximum age.
	reading      bool
	readingSince time.Time
	turn         chan struct{}
	longTurn     chan struct{}
}

// suspension is the time in which a source is not followed after it failed a number of times
// in a row.
type suspension struct {
	until    time.Time
	failures int
}

// NewFollower returns a Follower of the mirrors, which must not run yet.
func NewFollower(s FollowerSettings, log *eventlog.Log, mirrors ...*Mirror) *Follower {
	f := &Follower{settings: s, log: log, mirrors: mirrors, startedAt: time.Now(), suspended: map[string]suspension{}, changed: make(chan struct{}), turn: make(chan struct{}), longTurn: make(chan struct{})}
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
	if !f.sourced || now.Sub(f.rankedAt) >= rankInterval {
		policy, others := f.settings.Policy, f.settings.Others()
		if !f.sourced && !f.reading {
			policy = f.settings.StartPolicy
		}
		f.ranked, f.rankedAt = policy.Sources(f.settings.Self, others), now
		f.others.Store(int64(len(others)))
	}
	return f.reachable(now)
}

// reachable returns the ranked sources that are not suspended. f.mu must be held.
func (f *Follower) reachable(now time.Time) (list []Node) {
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
	case len(sources) == 0 && !f.sourced:
		return f.others.Load() > 0 || age >= f.settings.StartHold
	case len(sources) == 0:
		return true
	case !f.sourced:
		return age >= startPatience
	default:
		return f.settings.Clock.Local()-f.sourceAt > f.staleAge()
	}
}

// updateTurn decides whether this daemon reads the store from now on.
func (f *Follower) updateTurn() {
	now := time.Now()
	reading, sources := f.mustRead(now), len(f.sources(now))
	f.mu.Lock()
	if reading && !f.reading {
		f.readingSince = now
	}
	// Most daemons read for a moment, until the one next in turn is answered.
	readsAll := reading && (len(f.ranked) <= 1 || !f.sourced || sources <= 1 && now.Sub(f.readingSince) >= longTurnAge)
	f.reading = reading
	setOpen(&f.turn, reading)
	setOpen(&f.longTurn, readsAll)
	f.mu.Unlock()
	if reading {
		f.logRole("")
	}
}

// setOpen closes a channel, or makes it anew, so that it is closed if open is set.
func setOpen(channel *chan struct{}, open bool) {
	select {
	case <-*channel:
		if !open {
			*channel = make(chan struct{})
		}
	default:
		if open {
			close(*channel)
		}
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
	if !f.sourced {
		if f.reading {
			return turnCheckInterval
		}
		return startCheckInterval
	}
	untilStale := f.staleAge() - (f.settings.Clock.Local() - f.sourceAt)
	if untilStale < 0 {
		return turnCheckInterval
	}
	return min(max(untilStale, minTurnCheckInterval), turnCheckInterval)
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
	turn := f.turn
	if m.settings.MaxAge == 0 && f.maxAge() > 0 {
		turn = f.longTurn
	}
	f.mu.Unlock()
	select {
	case <-turn:
		return nil
	default:
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

// Reading reports whether this daemon reads the store, and the name of the daemon that it
// follows otherwise.
func (f *Follower) Reading() (reading bool, source string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reading, f.source
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
	// errIncompleteSource is the error of a source without copies of all tables.
	errIncompleteSource = errors.New("the source lacks copies")
)

// suspend stops following a source for a while.
func (f *Follower) suspend(n Node, err error) {
	now := time.Now()
	f.mu.Lock()
	maps.DeleteFunc(f.suspended, func(_ string, s suspension) bool { return now.Sub(s.until) > sourceBackoff.Max })
	failures := f.suspended[n.Address].failures
	if errors.Is(err, errStaleSource) {
		// It may be newer again as soon as the store answers it.
		f.suspended[n.Address] = suspension{until: now.Add(sourceBackoff.Min), failures: failures}
	} else {
		f.suspended[n.Address] = suspension{until: now.Add(sourceBackoff.Delay(failures)), failures: failures + 1}
	}
	followed := f.source == n.Name
	f.source = ""
	f.mu.Unlock()
	if followed {
		f.log.Emit(eventlog.FeedSourceLost, eventlog.Fields{Detail: n.Name + ": " + err.Error() + f.describeAge()})
	}
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
	req, whole := peerRequest{Follow: map[string]uint64{}, FollowEras: map[string]uint64{}}, f.takeResync()
	for _, m := range f.mirrors {
		at := m.copyPosition(whole)
		req.Follow[m.settings.Table] = at.Version
		if at.Era != 0 {
			req.FollowEras[m.settings.Table] = at.Era
		}
	}
	if err := conn.SetDeadline(time.Now().Add(maxFrameInterval)); err != nil {
		return err
	}
	if err := writeFrame(conn, &req); err != nil {
		return err
	}
	for streamed := false; ; {
		if err := conn.SetReadDeadline(time.Now().Add(f.frameTimeout())); err != nil {
			return err
		}
		var frame copyFrame
		if err := readFrame(conn, maxResponseBytes, &frame); err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) && f.sourceIsStale() {
				return errStaleSource
			}
			return err
		}
		err := f.applyFrame(source, &frame, streamed)
		sources := f.sources(time.Now())
		switch {
		case errors.Is(err, errStaleSource) && len(sources) == 1 && sources[0] == source:
			// There is no other: it may be the first to hear of the store again.
		case err != nil:
			return err
		case len(sources) == 0 || sources[0] != source:
			return errBetterSource
		}
		streamed = streamed || frame.AgeMs >= 0
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
// the source does not know all tables although there was time for it. The error is
// errStaleSource if its knowledge is too old; the frame counts nevertheless.
func (f *Follower) applyFrame(source Node, frame *copyFrame, streamed bool) error {
	now := time.Now()
	f.mu.Lock()
	f.sourceAnswerTime, f.heardAt = time.Duration(frame.AnswerMs)*time.Millisecond, now
	starting := !f.sourced && now.Sub(f.startedAt) < startPatience
	maxAge := f.maxSourceAge()
	f.mu.Unlock()
	f.observeEra(frame.Era)
	if frame.Now != 0 {
		f.settings.Clock.ObserveRelayed(frame.Now)
	}
	switch {
	case frame.AgeMs < 0 && starting:
		return nil // it starts too and is about to read the tables
	case frame.AgeMs < 0 || !streamed && len(frame.Tables) != len(f.mirrors):
		return errIncompleteSource
	}
	transit := f.transit(frame)
	age := time.Duration(frame.AgeMs)*time.Millisecond + transit
	local := f.settings.Clock.Local()
	for _, m := range f.mirrors {
		for i := range frame.Tables {
			if frame.Tables[i].Table == m.settings.Table && !m.applyCopied(&frame.Tables[i], source.Name) && f.mayResync(now) {
				return errResync
			}
		}
	}
	if frame.Era < f.era() {
		// What it vouches for was before the store was restored.
		return errStaleSource
	}
	for _, m := range f.mirrors {
		tableAge := age
		if ms, stated := frame.AgesMs[m.settings.Table]; stated {
			tableAge = time.Duration(ms)*time.Millisecond + transit
		}
		m.confirmBySource(local - tableAge)
	}
	f.noteSourceAt(local - age)
	f.notifyConfirmed()
	if age > maxAge {
		return errStaleSource
	}
	f.mu.Lock()
	delete(f.suspended, source.Address)
	f.mu.Unlock()
	f.logRole(source.Name)
	return nil
}

// noteSourceAt notes when the copies are known to have been complete by the sources' frames. last is
// what the last one says of all of them.
func (f *Follower) noteSourceAt(last time.Duration) {
	at, limited := last, false
	for _, m := range f.mirrors {
		m.mu.Lock()
		if m.settings.MaxAge > 0 && (!limited || m.sourcedAt < at) {
			at, limited = m.sourcedAt, true
		}
		m.mu.Unlock()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sourceAt, f.sourced = at, true
}

// observeEra notes an era that another daemon stated.
func (f *Follower) observeEra(era uint64) {
	if f.settings.Eras != nil {
		f.settings.Eras.Observe(era)
	}
}

// era returns the lowest era of the copies that have a maximum age.
func (f *Follower) era() uint64 {
	lowest, found := uint64(0), false
	for _, m := range f.mirrors {
		if m.settings.MaxAge == 0 {
			continue
		}
		if era := m.copyPosition(false).Era; !found || era < lowest {
			lowest, found = era, true
		}
	}
	return lowest
}

// ObserveAnswer notes that the store answered a call of this daemon that was sent at a time of
// Clock.Local, and read at a time of Clock.
func (f *Follower) ObserveAnswer(sentAt time.Duration, readAt platform.StoreTime) {
	for _, m := range f.mirrors {
		m.observeOwn(func(c *contact) { c.answered(m.storeTimeOf(sentAt), readAt) })
	}
}

// observeStore changes what the copies know of the store.
func (f *Follower) observeStore(change func(c *contact)) {
	for _, m := range f.mirrors {
		m.observeOwn(change)
	}
}

// knownOthers returns how many other daemons are known, as of the last check.
func (f *Follower) knownOthers() int { return int(f.others.Load()) }

func (f *Follower) mayResync(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.resyncAt) < minResyncInterval {
		return false
	}
	f.resync, f.resyncAt = true, now
	return true
}
