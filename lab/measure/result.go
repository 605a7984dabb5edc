package measure

// Result is the outcome of one run. Counts are of requests that arrived after
// the warm-up; shares are between 0 and 1 if not said otherwise.
type Result struct {
	Workload  string `json:"workload"`
	Scenario  string `json:"scenario"`
	Policy    string `json:"policy"`
	Seed      uint64 `json:"seed"`
	Without   string `json:"without,omitempty"`
	Requests  int    `json:"requests"`
	Completed int    `json:"completed"`
	// Refused requests were not run; Lost ones may have run and gave no whole answer.
	Refused int `json:"refused"`
	Lost    int `json:"lost"`
	// PrefixHitRate is cached over all prompt tokens of completed requests.
	PrefixHitRate float64 `json:"prefix_hit_rate"`
	// HitRateOfIdeal is PrefixHitRate over that of one cache as large as all
	// engines' that sees all requests in order of arrival, refused ones too.
	HitRateOfIdeal float64 `json:"hit_rate_of_ideal"`
	// WastedRecomputeTokens are all computed prompt tokens, hedges and failed
	// attempts included, less the ones that the ideal cache misses too.
	WastedRecomputeTokens int64 `json:"wasted_recompute_tokens"`
	// WastedOfUnavoidable is over the tokens that the ideal cache misses.
	WastedOfUnavoidable float64 `json:"wasted_of_unavoidable"`
	// TTFT is from the caller's sending to its first token, interactive work only.
	TTFTp50 float64 `json:"ttft_p50_ms"`
	TTFTp99 float64 `json:"ttft_p99_ms"`
	// ShortWaitP99 is from the arrival at a daemon to the start at the engine.
	ShortWaitP99 float64 `json:"short_wait_p99_ms"`
	// GoodputShare is work done for requests whose first token came in time,
	// over the lesser of the capacity and the offered work, in slot time and
	// within the disturbance (up to the last arrival if the load is steady).
	GoodputShare float64 `json:"goodput_share"`
	RefusedLate  int     `json:"refused_late"`
	// HedgeShare and RetryShare are further attempts over requests, the warm-up included.
	HedgeShare float64 `json:"hedge_share"`
	// GossipBytes is what a daemon sends to its peers, in bytes a second.
	GossipBytes   float64 `json:"gossip_bytes_per_daemon_s"`
	RetryShare    float64 `json:"retry_share"`
	CallerRetries int     `json:"caller_retries"`
	// Forbidden counts second copies of work that may not be repeated.
	Forbidden int `json:"forbidden_repeats"`
	// RecoverySeconds is from the end of the disturbance to the first of three
	// good seconds in a row; -1 means never, and it is 0 without a disturbance.
	RecoverySeconds float64 `json:"recovery_s"`
	// DipInTime is the least share of good requests in a second since the disturbance began.
	DipInTime float64 `json:"dip_good_share"`
	// HitDip is the least hit rate of ideal in a second since the disturbance began.
	HitDip float64 `json:"dip_hit_of_ideal"`
	// HitBefore and HitFirstSecond are hit rates of ideal before the
	// disturbance and of requests that arrived in the first second after it.
	HitBefore      float64 `json:"hit_of_ideal_before"`
	HitFirstSecond float64 `json:"hit_of_ideal_first_second"`
	// HitLater is the hit rate of ideal from ten seconds after the disturbance's end.
	HitLater float64 `json:"hit_of_ideal_after_10s"`
	// OthersWaitP99 is the wait of organisations other than the greedy one
	// within the disturbance, OthersRefused the share of them refused;
	// OthersWaitP99Without is the wait when the greedy one stays within its share.
	OthersWaitP99        float64 `json:"others_wait_p99_ms"`
	OthersWaitP99Without float64 `json:"others_wait_p99_without_ms"`
	OthersRefused        float64 `json:"others_refused_share"`
	// HomesOld and HomesNew are, before and after a hot shift, the engines that
	// serve the prefix which was the hottest and the one which becomes it.
	HomesOld []int `json:"homes_of_old_hot,omitempty"`
	HomesNew []int `json:"homes_of_new_hot,omitempty"`
	// CapacityRate is the computed capacity in requests a second.
	CapacityRate float64 `json:"capacity_rps"`
}
