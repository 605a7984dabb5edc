package routing

// Names of the rules that Settings.Without turns off.
const (
	// RuleHomes restricts a request to the homes of its prompt; without it every engine is a candidate.
	RuleHomes = "homes"
	// RuleNestedHomes narrows homes level by level; without it the home key alone decides.
	RuleNestedHomes = "nested-homes"
	// RuleHomeGrowth grows the number of homes with the key's rate.
	RuleHomeGrowth = "home-growth"
	// RuleHomeOrder presumes that the first home holds the prompt when nothing is known.
	RuleHomeOrder = "home-order"
	// RuleHints uses what engines were seen to hold.
	RuleHints = "hints"
	// RulePeerHints shares among daemons what engines were seen to hold.
	RulePeerHints = "peer-hints"
	// RuleTransfers lets engines fetch from one another what one of them holds.
	RuleTransfers = "transfers"
	// RuleCacheStore saves prompts to the store of cached prompts and fetches them from there.
	RuleCacheStore = "cache-store"
	// RuleSegregation keeps some engines for short prompts.
	RuleSegregation = "segregation"
	// RulePrefill bounds the prompts that wait at one engine.
	RulePrefill = "prefill-limit"
	// RulePrice prices recomputation above waiting.
	RulePrice = "recompute-price"
	// RuleLoadPrice raises that price with the fleet's load.
	RuleLoadPrice = "load-price"
	// RuleSlowdown weighs candidates by their observed slowdown.
	RuleSlowdown = "slowdown"
	// RuleWaiting counts requests that wait past their prediction as evidence of a slow engine.
	RuleWaiting = "waiting-evidence"
	// RuleProgress takes the pace of running answers as evidence of a slow engine.
	RuleProgress = "progress-evidence"
	// RulePeerLoad counts what peers have at an engine.
	RulePeerLoad = "peer-load"
	// RulePeerSlowdown uses the slowdown that peers see.
	RulePeerSlowdown = "peer-slowdown"
	// RuleReports uses engines' own load reports where peers' are missing.
	RuleReports = "load-reports"
	// RuleEjection keeps work from engines that fail.
	RuleEjection = "ejection"
	// RuleLimits adapts the daemon's limit at each engine; without it, the engine's slots are the limit.
	RuleLimits = "limits"
	// RulePatience lets a request wait for a home that holds its prompt although another has a free slot.
	RulePatience = "patience"
	// RuleCrowd prices a slot by the wait that holding it causes to others.
	RuleCrowd = "crowd-price"
	// RuleFairness shares the queue among organisations.
	RuleFairness = "fairness"
	// RuleHeadroom keeps a part of each engine's slots from organisations that exceed their share.
	RuleHeadroom = "share-headroom"
	// RuleEarlyRefusal refuses at once what cannot start in time.
	RuleEarlyRefusal = "early-refusal"
	// RuleDeferral keeps deferrable work to the troughs.
	RuleDeferral = "deferral"
	// RuleHedges starts second copies of requests that wait too long.
	RuleHedges = "hedges"
)

// rules tells which rules are on.
type rules struct {
	homes, nested, growth, order, hints, price, loadPrice    bool
	slowdown, waiting, progress, peerLoad, peerSlow, reports bool
	ejection, limits, patience, fairness, earlyRef           bool
	deferral, hedges, crowd, peerHints, headroom, transfers  bool
	segregation, prefill, cacheStore                         bool
}

func newRules(without []string) rules {
	off := map[string]bool{}
	for _, name := range without {
		off[name] = true
	}
	return rules{
		homes: !off[RuleHomes], nested: !off[RuleNestedHomes], growth: !off[RuleHomeGrowth],
		order: !off[RuleHomeOrder], hints: !off[RuleHints], price: !off[RulePrice],
		loadPrice: !off[RuleLoadPrice], slowdown: !off[RuleSlowdown], waiting: !off[RuleWaiting],
		progress: !off[RuleProgress], peerLoad: !off[RulePeerLoad], peerSlow: !off[RulePeerSlowdown],
		reports: !off[RuleReports], ejection: !off[RuleEjection], limits: !off[RuleLimits],
		patience: !off[RulePatience], fairness: !off[RuleFairness],
		earlyRef: !off[RuleEarlyRefusal], deferral: !off[RuleDeferral], crowd: !off[RuleCrowd], peerHints: !off[RulePeerHints],
		headroom: !off[RuleHeadroom], hedges: !off[RuleHedges], transfers: !off[RuleTransfers], segregation: !off[RuleSegregation], prefill: !off[RulePrefill],
		cacheStore: !off[RuleCacheStore],
	}
}
