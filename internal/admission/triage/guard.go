package triage

import (
	"math"
	"slices"
	"time"
)

const (
	// minSizeService and minOrganisationService bound how much less often large requests
	// and single organisations are served than the whole kind and all requests. Operators
	// require a half and a quarter; the rest allows for refusals elsewhere.
	minSizeService         = 0.6
	minOrganisationService = 0.35
	// maxUrgencyGap bounds by how much a more urgent kind is served less often than a less
	// urgent one; operators allow 0.05.
	maxUrgencyGap = 0.03
	// sizeSamples is the number of sizes that a kind remembers.
	sizeSamples = 128
	// tenthQuantile and fifthQuantile separate the largest tenth of the requests of a
	// kind, and the fifth below it, from the others.
	tenthQuantile = 0.9
	fifthQuantile = 0.7
	// maxOffered is the count from which an account is halved, so that newer requests
	// weigh more.
	maxOffered = 2048
	// maxOrganisations bounds the organisations with an account.
	maxOrganisations = 4096
	// maxKinds bounds the kinds with an account.
	maxKinds = 256
	// maxCredit bounds how many requests in a row can be ordered behind others at engines.
	maxCredit = 4
)

// sizeGroup is a group of the requests of one kind by size.
type sizeGroup int8

const (
	others sizeGroup = iota
	largestFifth
	largestTenth
	sizeGroups
)

// account counts requests.
type account struct {
	offered, refused float64
	// credit is how many requests may be ordered behind others at engines: one for each
	// that was not.
	credit float64
}

func (a *account) offer() {
	a.offered++
	if a.offered > maxOffered {
		a.offered, a.refused = a.offered/2, a.refused/2
	}
}

// served returns the fraction of requests that would be served after further refusals.
func (a *account) served(further float64) float64 {
	if a.offered == 0 {
		return 1
	}
	return max(0, 1-(a.refused+further)/a.offered)
}

// kindKey identifies a kind of request.
type kindKey struct {
	name     string
	priority int
}

// kind holds the accounts of the requests of one kind.
type kind struct {
	account
	bySize [sizeGroups]account
	// submissions counts returning requests as new ones.
	submissions account
	sizes       []float64
	next        int
	// timesLeft are the times from the arrival of recent requests to their deadlines.
	timesLeft []time.Duration
	nextTime  int
	// meanWork is the moving average of the work of requests that were ranked.
	meanWork float64
	// late and missed tell how many requests of rank 0 miss their goals and their deadlines
	// at engines, missedBehind how many of a greater rank miss their deadlines.
	late, missed, missedBehind average
}

// meanWorkWeight is the weight of a new request in the mean work of its kind.
const meanWorkWeight = 0.02

func (k *kind) observeWork(work float64) {
	if k.meanWork == 0 {
		k.meanWork = work
	}
	k.meanWork += meanWorkWeight * (work - k.meanWork)
}

func (k *kind) observeSize(size float64) {
	if len(k.sizes) < sizeSamples {
		k.sizes = append(k.sizes, size)
		return
	}
	k.sizes[k.next] = size
	k.next = (k.next + 1) % sizeSamples
}

const (
	// minFullTimeSamples and minFullTimeFraction are how many samples a kind needs before
	// its full time is known, and the fraction of them that must have it.
	minFullTimeSamples  = 16
	minFullTimeFraction = 1.0 / 8
	// fullTimeTolerance is the fraction by which times that count as equal may differ.
	fullTimeTolerance = 0.02
	// returningTolerance is how many requests with less time than the others may arrive for
	// each refusal: with more of them, callers have different deadlines.
	returningTolerance = 1.25
)

// observeTimeLeft records the time from a request's arrival to its deadline and returns for
// how long the caller has tried before: callers who return with the rest of a deadline that
// is the same for the whole kind have less time than the others. It is 0 where deadlines
// differ.
func (k *kind) observeTimeLeft(left time.Duration) time.Duration {
	if len(k.timesLeft) < sizeSamples {
		k.timesLeft = append(k.timesLeft, left)
	} else {
		k.timesLeft[k.nextTime] = left
		k.nextTime = (k.nextTime + 1) % sizeSamples
	}
	if len(k.timesLeft) < minFullTimeSamples {
		return 0
	}
	full := slices.Max(k.timesLeft)
	least := full - time.Duration(fullTimeTolerance*float64(full))
	atFull := 0
	for _, t := range k.timesLeft {
		if t >= least {
			atFull++
		}
	}
	less := 1 - float64(atFull)/float64(len(k.timesLeft))
	if left >= least || less > 1-minFullTimeFraction || less > returningTolerance*(1-k.submissions.served(0)) {
		return 0
	}
	return full - left
}

// group returns the group of a size. Equal sizes are in the same group.
func (k *kind) group(size float64) sizeGroup {
	below := 0.0
	for _, s := range k.sizes {
		switch {
		case s < size:
			below++
		case s == size:
			below += 0.5
		}
	}
	switch quantile := below / math.Max(1, float64(len(k.sizes))); {
	case quantile >= tenthQuantile:
		return largestTenth
	case quantile >= fifthQuantile:
		return largestFifth
	default:
		return others
	}
}

// Guard bounds how much more often large requests, single organisations and urgent kinds
// are delayed or refused than others, by what one daemon has seen.
type Guard struct {
	all           account
	kinds         map[kindKey]*kind
	organisations map[string]*account
}

// NewGuard returns a Guard that has seen no requests.
func NewGuard() *Guard {
	return &Guard{kinds: map[kindKey]*kind{}, organisations: map[string]*account{}}
}

// Offer counts a new request and dates it back to the caller's first try, if that can be
// told: then the refusal of the request before does not count any longer.
func (g *Guard) Offer(r *Request) {
	k := g.kind(r)
	tried := time.Duration(0)
	if !r.Deadline.IsZero() && !r.Goal.IsZero() {
		tried = k.observeTimeLeft(r.Deadline.Sub(r.ArrivedAt))
		r.ArrivedAt, r.Goal = r.ArrivedAt.Add(-tried), r.Goal.Add(-tried)
	}
	k.observeSize(r.Size)
	k.submissions.offer()
	for _, a := range g.accounts(r) {
		if tried > 0 {
			a.refused = max(0, a.refused-1)
		} else {
			a.offer()
		}
	}
}

// accounts returns the accounts that a request is part of.
func (g *Guard) accounts(r *Request) [4]*account {
	k := g.kind(r)
	return [...]*account{&k.account, &k.bySize[k.group(r.Size)], g.organisation(r.Organisation), &g.all}
}

// Refuse reports whether a request that could be served may be refused, and counts the
// refusal if so.
func (g *Guard) Refuse(r *Request) bool {
	if g.servesTooFew(r, 1) {
		return false
	}
	after := g.kind(r).served(1)
	for key, other := range g.kinds {
		if key.priority < r.Priority && after < other.served(0)-maxUrgencyGap {
			return false
		}
	}
	g.Refused(r)
	return true
}

// Owed reports whether requests of this size or organisation are served too seldom.
func (g *Guard) Owed(r *Request) bool { return g.servesTooFew(r, 0) }

// servesTooFew reports whether requests of this size or organisation would be served too
// seldom after further refusals of them.
func (g *Guard) servesTooFew(r *Request, further float64) bool {
	k := g.kind(r)
	group := k.group(r.Size)
	return group != others && k.bySize[group].served(further) < minSizeService*k.served(further) ||
		g.organisation(r.Organisation).served(further) < minOrganisationService*g.all.served(further)
}

// Refused counts a refusal that was not asked for with Refuse.
func (g *Guard) Refused(r *Request) {
	g.kind(r).submissions.refused++
	for _, a := range g.accounts(r) {
		a.refused++
	}
}

// putBehind reports whether a request may be ordered behind others of its kind at an
// engine, and counts it. Of each size group and of each organisation at least half are
// not.
func (g *Guard) putBehind(r *Request, behind bool) bool {
	k := g.kind(r)
	bySize, organisation := &k.bySize[k.group(r.Size)], g.organisation(r.Organisation)
	if behind && bySize.credit >= 1 && organisation.credit >= 1 {
		bySize.credit--
		organisation.credit--
		return true
	}
	bySize.credit = min(bySize.credit+1, maxCredit)
	organisation.credit = min(organisation.credit+1, maxCredit)
	return false
}

func (g *Guard) kind(r *Request) *kind {
	key := kindKey{r.Kind, r.Priority}
	k := g.kinds[key]
	if k == nil {
		if len(g.kinds) >= maxKinds {
			clear(g.kinds) // routes were renamed many times
		}
		k = &kind{}
		g.kinds[key] = k
	}
	return k
}

func (g *Guard) organisation(name string) *account {
	a := g.organisations[name]
	if a != nil {
		return a
	}
	if len(g.organisations) >= maxOrganisations {
		for other := range g.organisations { // any one: it counts as new when it returns
			delete(g.organisations, other)
			break
		}
	}
	a = &account{}
	g.organisations[name] = a
	return a
}
