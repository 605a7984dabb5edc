package routing

// Names of the rules that Settings can turn off.
const (
	// RuleHomes restricts a request to the homes of its prompt; otherwise every engine is a candidate.
	RuleHomes = "homes"
	// RuleNestedHomes narrows homes level by level; otherwise only the home key is used.
	RuleNestedHomes = "nested-homes"
	// RuleHomeGrowth increases the number of homes with the key's request rate.
	RuleHomeGrowth = "home-growth"
	// RuleHomeOrder presumes that the first home holds the prompt if no hint exists.
	RuleHomeOrder = "home-order"
	// RuleHints uses hints of which prefixes engines hold.
	RuleHints = "hints"
	// RulePeerHints shares hints among daemons.
	RulePeerHints = "peer-hints"
	// RuleTransfers lets engines fetch cached prompts from one another.
	RuleTransfers = "transfers"
	// RuleCacheStore saves prompts to the store of cached prompts and fetches them from there.
	RuleCacheStore = "cache-store"
	// RuleSegregation keeps some engines for short prompts.
	RuleSegregation = "segregation"
	// RulePrefillLimit keeps long prompts from engines where they would wait too long for the prefill of others.
	RulePrefillLimit = "prefill-limit"
	// RuleRecomputePrice makes a second of recomputation cost more than a second of waiting.
	RuleRecomputePrice = "recompute-price"
	// RuleLoadPrice raises the price of recomputation with the fleet's load.
	RuleLoadPrice = "load-price"
	// RuleSlowdown multiplies the cost of candidates by their slowdown.
	RuleSlowdown = "slowdown"
	// RuleWaitingEvidence infers slowdown from requests that wait longer than predicted.
	RuleWaitingEvidence = "waiting-evidence"
	// RuleProgressEvidence measures slowdown by the token latency of running responses.
	RuleProgressEvidence = "progress-evidence"
	// RulePeerLoad counts the requests of peers at an engine.
	RulePeerLoad = "peer-load"
	// RulePeerSlowdown uses the slowdown that peers observe.
	RulePeerSlowdown = "peer-slowdown"
	// RuleLoadReports uses engines' load reports if peers share none.
	RuleLoadReports = "load-reports"
	// RuleAnnouncements uses announcements of long prompts in fleets too large for the loads of all engines.
	RuleAnnouncements = "announcements"
	// RuleRateHomes sets the number of homes of a long prompt by its announced rate and prefill time.
	RuleRateHomes = "rate-homes"
	// RuleEngineMemory keeps long prompts from engines whose memory they exceed.
	RuleEngineMemory = "engine-memory"
	// RuleSharedPrefill sends a long prompt to the engine that is reading its shared levels.
	RuleSharedPrefill = "shared-prefill"
	// RuleEngineSpeeds learns the prefill speeds of engines from first tokens, where announcements are used.
	RuleEngineSpeeds = "engine-speeds"
	// RuleEjection ejects engines that fail.
	RuleEjection = "ejection"
	// RuleLimits adapts the daemon's concurrency limit at each engine; otherwise the engine's slots are the limit.
	RuleLimits = "limits"
	// RulePatience lets a request wait for a home that holds its prompt although another has a free slot.
	RulePatience = "patience"
	// RuleCrowdPrice prices a slot by the wait that holding it causes for others.
	RuleCrowdPrice = "crowd-price"
	// RuleFairness queues requests fairly by organisation.
	RuleFairness = "fairness"
	// RuleShareHeadroom reserves a fraction of each engine's slots for organisations within their share.
	RuleShareHeadroom = "share-headroom"
	// RuleEarlyRefusal refuses requests at once that are predicted not to start in time.
	RuleEarlyRefusal = "early-refusal"
	// RuleDeferral starts deferrable work only at engines with low load and when no other work waits.
	RuleDeferral = "deferral"
	// RuleHedges hedges requests whose first token is late.
	RuleHedges = "hedges"
)

// rules holds one field per rule, true if the rule is on.
type rules struct {
	homes, nestedHomes, homeGrowth, homeOrder, hints, recomputePrice, loadPrice      bool
	slowdown, waitingEvidence, progressEvidence, peerLoad, peerSlowdown, loadReports bool
	ejection, limits, patience, fairness, earlyRefusal                               bool
	deferral, hedges, crowdPrice, peerHints, shareHeadroom, transfers                bool
	segregation, prefillLimit, cacheStore                                            bool
	announcements, rateHomes, engineMemory, sharedPrefill, engineSpeeds              bool
}

func newRules(without []string) rules {
	off := map[string]bool{}
	for _, name := range without {
		off[name] = true
	}
	return rules{
		homes: !off[RuleHomes], nestedHomes: !off[RuleNestedHomes], homeGrowth: !off[RuleHomeGrowth],
		homeOrder: !off[RuleHomeOrder], hints: !off[RuleHints], recomputePrice: !off[RuleRecomputePrice],
		loadPrice: !off[RuleLoadPrice], slowdown: !off[RuleSlowdown], waitingEvidence: !off[RuleWaitingEvidence],
		progressEvidence: !off[RuleProgressEvidence], peerLoad: !off[RulePeerLoad], peerSlowdown: !off[RulePeerSlowdown],
		loadReports: !off[RuleLoadReports], ejection: !off[RuleEjection], limits: !off[RuleLimits],
		patience: !off[RulePatience], fairness: !off[RuleFairness],
		earlyRefusal: !off[RuleEarlyRefusal], deferral: !off[RuleDeferral], crowdPrice: !off[RuleCrowdPrice], peerHints: !off[RulePeerHints],
		shareHeadroom: !off[RuleShareHeadroom], hedges: !off[RuleHedges], transfers: !off[RuleTransfers], segregation: !off[RuleSegregation], prefillLimit: !off[RulePrefillLimit],
		cacheStore: !off[RuleCacheStore], announcements: !off[RuleAnnouncements], rateHomes: !off[RuleRateHomes], engineMemory: !off[RuleEngineMemory], sharedPrefill: !off[RuleSharedPrefill], engineSpeeds: !off[RuleEngineSpeeds],
	}
}
