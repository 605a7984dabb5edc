package measure

// Result holds the figures of one run. Counts cover the requests that arrived
// after the warm-up and shares are between 0 and 1, unless stated otherwise.
type Result struct {
	Workload      string `json:"workload"`
	Scenario      string `json:"scenario"`
	Policy        string `json:"policy"`
	Seed          uint64 `json:"seed"`
	DisabledRules string `json:"without,omitempty"`
	Requests      int    `json:"requests"`
	Completed     int    `json:"completed"`
	// Refused requests were not run; Lost ones may have run, but gave no complete
	// response.
	Refused int `json:"refused"`
	Lost    int `json:"lost"`
	// PrefixHitRate is the cached over all prompt tokens of completed requests.
	PrefixHitRate float64 `json:"prefix_hit_rate"`
	// HitRateOfIdeal is PrefixHitRate over the hit rate of the ideal cache: a single
	// one as large as all engines' caches together that sees all requests in order
	// of arrival, including refused ones.
	HitRateOfIdeal float64 `json:"hit_rate_of_ideal"`
	// WastedRecomputeTokens are the computed prompt tokens, including those of hedged
	// and failed attempts, minus the ones that the ideal cache misses too.
	WastedRecomputeTokens int64 `json:"wasted_recompute_tokens"`
	// WastedOfUnavoidable is WastedRecomputeTokens over the tokens that the ideal
	// cache misses.
	WastedOfUnavoidable float64 `json:"wasted_of_unavoidable"`
	// TTFTp50 and TTFTp99 are percentiles of the time to first token of interactive
	// requests, as the caller sees it.
	TTFTp50 float64 `json:"ttft_p50_ms"`
	TTFTp99 float64 `json:"ttft_p99_ms"`
	// ShortWaitP99 is the wait of short interactive requests, from the first arrival
	// at a daemon to the start at the engine.
	ShortWaitP99 float64 `json:"short_wait_p99_ms"`
	// GoodputShare is the work done for requests whose first token came in time,
	// over the lesser of the capacity and the offered work. Work is in slot time
	// within the disturbance, or up to the last arrival if the load is steady.
	GoodputShare float64 `json:"goodput_share"`
	RefusedLate  int     `json:"refused_late"`
	// HedgeShare and RetryShare are hedged and retried attempts over requests,
	// including the warm-up.
	HedgeShare float64 `json:"hedge_share"`
	// GossipBytesPerSecond is what one daemon sends to its peers on average.
	GossipBytesPerSecond float64 `json:"gossip_bytes_per_daemon_s"`
	RetryShare           float64 `json:"retry_share"`
	CallerRetries        int     `json:"caller_retries"`
	// ForbiddenRepeats counts repeated attempts of requests that may not be repeated.
	ForbiddenRepeats int `json:"forbidden_repeats"`
	// RecoverySeconds is the time from the end of the disturbance to the first of
	// three good seconds in a row; -1 means never, 0 also no disturbance.
	RecoverySeconds float64 `json:"recovery_s"`
	// MinGoodShare is the least share of requests with a good TTFT in any second
	// since the disturbance began.
	MinGoodShare float64 `json:"dip_good_share"`
	// MinHitOfIdeal is the least HitRateOfIdeal in any second since the disturbance
	// began.
	MinHitOfIdeal float64 `json:"dip_hit_of_ideal"`
	// HitOfIdealBefore and HitOfIdealFirstSecond are HitRateOfIdeal of the requests
	// that arrived before the disturbance and in the first second since it began.
	HitOfIdealBefore      float64 `json:"hit_of_ideal_before"`
	HitOfIdealFirstSecond float64 `json:"hit_of_ideal_first_second"`
	// HitOfIdealAfter10s is HitRateOfIdeal from ten seconds after the end of the
	// disturbance.
	HitOfIdealAfter10s float64 `json:"hit_of_ideal_after_10s"`
	// OthersWaitP99 is the wait of the interactive requests of organisations other
	// than the greedy one during the disturbance, OthersRefusedShare the share of
	// them that was not completed. OthersWaitP99Without is the wait in a run where
	// the greedy organisation stays within its share.
	OthersWaitP99        float64 `json:"others_wait_p99_ms"`
	OthersWaitP99Without float64 `json:"others_wait_p99_without_ms"`
	OthersRefusedShare   float64 `json:"others_refused_share"`
	// HomesOfOldHot and HomesOfNewHot are the numbers of engines, before and after a
	// hot shift, that serve the prefix that was the hottest and the one that becomes
	// the hottest.
	HomesOfOldHot []int `json:"homes_of_old_hot,omitempty"`
	HomesOfNewHot []int `json:"homes_of_new_hot,omitempty"`
	// CapacityRPS is the computed capacity in requests per second.
	CapacityRPS float64 `json:"capacity_rps"`
}
