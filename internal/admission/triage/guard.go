package triage

import "math"

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

// kind holds the accounts of the requests of one priority.
type kind struct {
	account
	bySize [sizeGroups]account
	sizes  []float64
	next   int
	// meanWork is the moving average of the work of requests that were ranked.
	meanWork float64
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
	kinds         map[int]*kind
	organisations map[string]*account
}

// NewGuard returns a Guard that has seen no requests.
func NewGuard() *Guard {
	return &Guard{kinds: map[int]*kind{}, organisations: map[string]*account{}}
}

// Offer counts a new request.
func (g *Guard) Offer(r *Request) {
	k := g.kind(r.Priority)
	k.observeSize(r.Size)
	k.offer()
	k.bySize[k.group(r.Size)].offer()
	g.organisation(r.Organisation).offer()
	g.all.offer()
}

// Refuse reports whether a request that could be served may be refused, and counts the
// refusal if so.
func (g *Guard) Refuse(r *Request) bool {
	k := g.kind(r.Priority)
	group := k.group(r.Size)
	after := k.served(1)
	if group != others && k.bySize[group].served(1) < minSizeService*after {
		return false
	}
	if g.organisation(r.Organisation).served(1) < minOrganisationService*g.all.served(1) {
		return false
	}
	for priority, other := range g.kinds {
		if priority < r.Priority && after < other.served(0)-maxUrgencyGap {
			return false
		}
	}
	g.Refused(r)
	return true
}

// Refused counts a refusal that was not asked for with Refuse.
func (g *Guard) Refused(r *Request) {
	k := g.kind(r.Priority)
	k.refused++
	k.bySize[k.group(r.Size)].refused++
	g.organisation(r.Organisation).refused++
	g.all.refused++
}

// putBehind reports whether a request may be ordered behind others of its kind at an
// engine, and counts it. Of each size group and of each organisation at least half are
// not.
func (g *Guard) putBehind(r *Request, behind bool) bool {
	k := g.kind(r.Priority)
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

func (g *Guard) kind(priority int) *kind {
	k := g.kinds[priority]
	if k == nil {
		k = &kind{}
		g.kinds[priority] = k
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
