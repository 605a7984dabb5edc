// Package eventlog records numbered events in the structured log and in a ring
// buffer, from which the timeline of all daemons is merged. docs/EVENTS.md
// describes each event.
package eventlog

import "github.com/hashicorp/go-hclog"

// ID is the number of a kind of event. Numbers are never reused.
type ID int

// Kinds of events: 1xx process, 2xx requests (240 to 249 the store's eras), 3xx upstreams, 4xx documents,
// 5xx platform, 6xx peers, 7xx at-most-once calls, 8xx quarantine, 9xx leases
// and orders to engines.
const (
	DaemonStarted              ID = 101
	DaemonReady                ID = 102
	DaemonNotReady             ID = 103
	DaemonDraining             ID = 104
	DaemonStopped              ID = 105
	DaemonIsolated             ID = 106
	DescriptorsShort           ID = 107
	SettingsChanged            ID = 108
	SettingsPending            ID = 109
	SettingsRejected           ID = 110
	RequestReceived            ID = 201
	AttemptStarted             ID = 202
	FirstToken                 ID = 203
	RequestFinished            ID = 204
	RequestRefused             ID = 205
	RequestFailed              ID = 206
	AttemptFailed              ID = 207
	StreamResumed              ID = 208
	CallerDisconnected         ID = 209
	HedgeStarted               ID = 210
	RequestPanicked            ID = 211
	AllowanceMalformed         ID = 212
	AllowanceOwned             ID = 213
	AllowanceOwnerLost         ID = 214
	AllowanceOwnerFound        ID = 215
	AllowanceExceeded          ID = 216
	StreamOriginUnknown        ID = 217
	StreamOriginsUnwritten     ID = 218
	SoftwareRecorded           ID = 219
	StoreRestored              ID = 240
	UpstreamServing            ID = 301
	UpstreamLeaving            ID = 302
	UpstreamDown               ID = 303
	UpstreamIncarnationChanged ID = 304
	CacheEventsUnreadable      ID = 305
	CacheEventsReadable        ID = 306
	UpstreamHeldOff            ID = 307
	UpstreamRateLimited        ID = 308
	UpstreamRateMalformed      ID = 309
	SlowReaderEnded            ID = 320 // a caller reads too slowly
	DocumentAdopted            ID = 401
	DocumentAccepted           ID = 402
	DocumentRejected           ID = 403
	DocumentUnresolved         ID = 404
	PlatformDown               ID = 501
	PlatformUp                 ID = 502
	FeedLost                   ID = 503
	FeedRecovered              ID = 504
	RowUnreadable              ID = 505
	StateAdopted               ID = 506
	GoalAdopted                ID = 507
	GoalDated                  ID = 508
	GoalRecorded               ID = 509
	GoalRecordFailed           ID = 510
	OperatorRowsLate           ID = 511
	StoreClockSetBack          ID = 512
	FeedSource                 ID = 513
	FeedSourceLost             ID = 514
	MissingRowsKept            ID = 515
	MissingRowsSettled         ID = 516
	PeerConnected              ID = 601
	PeerLost                   ID = 602
	PeerRejected               ID = 603
	PeersExpired               ID = 604
	DaemonRegistered           ID = 605
	DaemonUnregistered         ID = 606
	OnceClaimed                ID = 701
	OnceReplayed               ID = 702
	OnceOutcomeUnknown         ID = 703
	SuspectRecorded            ID = 801
	RequestQuarantined         ID = 802
	PartsSuspected             ID = 803
	PartQuarantined            ID = 804
	PartTrial                  ID = 805
	PartCleared                ID = 806
	PartRowFailed              ID = 807
	PartTrialUnrun             ID = 808
	LeaseAcquired              ID = 901
	LeaseLost                  ID = 902
	OrderSent                  ID = 903
	OrderRefused               ID = 904
	WeightsExpired             ID = 905
	LeaseUnread                ID = 906
)

// Kind describes a kind of event.
type Kind struct {
	ID    ID
	Level hclog.Level
	// Text is the message of the log line.
	Text string
}

// Kinds is the catalogue, ordered by number.
var Kinds = []Kind{
	{DaemonStarted, hclog.Info, "daemon started"},
	{DaemonReady, hclog.Info, "daemon ready"},
	{DaemonNotReady, hclog.Warn, "daemon not ready"},
	{DaemonDraining, hclog.Info, "daemon draining"},
	{DaemonStopped, hclog.Info, "daemon stopped"},
	{DaemonIsolated, hclog.Warn, "daemon isolated from platform and peers"},
	{DescriptorsShort, hclog.Warn, "file descriptors short"},
	{SettingsChanged, hclog.Info, "settings changed"},
	{SettingsPending, hclog.Warn, "settings changed that need a restart"},
	{SettingsRejected, hclog.Warn, "changed settings not used"},
	{RequestReceived, hclog.Debug, "request received"},
	{AttemptStarted, hclog.Debug, "attempt started"},
	{FirstToken, hclog.Debug, "first token"},
	{RequestFinished, hclog.Info, "request finished"},
	{RequestRefused, hclog.Info, "request refused"},
	{RequestFailed, hclog.Warn, "request failed"},
	{AttemptFailed, hclog.Info, "attempt failed"},
	{StreamResumed, hclog.Info, "stream resumed"},
	{CallerDisconnected, hclog.Info, "caller disconnected"},
	{HedgeStarted, hclog.Debug, "hedge started"},
	{RequestPanicked, hclog.Error, "handler of a request panicked"},
	{AllowanceMalformed, hclog.Warn, "quota malformed"},
	{AllowanceOwned, hclog.Info, "quota counted here"},
	{AllowanceOwnerLost, hclog.Warn, "quota's owner does not answer"},
	{AllowanceOwnerFound, hclog.Info, "quota's owner answers again"},
	{AllowanceExceeded, hclog.Info, "organisation over its quota"},
	{StreamOriginUnknown, hclog.Info, "stream not resumed, its software version is unknown"},
	{StreamOriginsUnwritten, hclog.Warn, "rows of stream origins not written"},
	{SoftwareRecorded, hclog.Info, "software versions recorded"},
	{StoreRestored, hclog.Warn, "store restored from an older copy"},
	{UpstreamServing, hclog.Info, "upstream serving"},
	{UpstreamLeaving, hclog.Info, "upstream leaving"},
	{UpstreamDown, hclog.Warn, "upstream down"},
	{UpstreamIncarnationChanged, hclog.Info, "upstream incarnation changed"},
	{CacheEventsUnreadable, hclog.Info, "cache events of an engine are unreadable"},
	{CacheEventsReadable, hclog.Info, "cache events of an engine are readable again"},
	{UpstreamHeldOff, hclog.Info, "upstream asks for no requests"},
	{UpstreamRateLimited, hclog.Info, "rate limit of an upstream"},
	{UpstreamRateMalformed, hclog.Warn, "malformed rate limit of an upstream"},
	{SlowReaderEnded, hclog.Warn, "response to a slow caller ended"},
	{DocumentAdopted, hclog.Info, "document adopted"},
	{DocumentAccepted, hclog.Info, "document accepted"},
	{DocumentRejected, hclog.Info, "document rejected"},
	{DocumentUnresolved, hclog.Warn, "document submission unresolved"},
	{PlatformDown, hclog.Warn, "platform unreachable"},
	{PlatformUp, hclog.Info, "platform reachable"},
	{FeedLost, hclog.Warn, "change feed of a table lost"},
	{FeedRecovered, hclog.Info, "change feed of a table recovered"},
	{RowUnreadable, hclog.Warn, "malformed row skipped"},
	{StateAdopted, hclog.Info, "desired state adopted"},
	{GoalAdopted, hclog.Info, "weight version goal adopted"},
	{GoalDated, hclog.Info, "weight version goal dated"},
	{GoalRecorded, hclog.Info, "weight version goal recorded"},
	{GoalRecordFailed, hclog.Warn, "record of weight version goals failed"},
	{OperatorRowsLate, hclog.Info, "change feed of the operators' rows late"},
	{StoreClockSetBack, hclog.Warn, "clock of the store went back"},
	{FeedSource, hclog.Info, "source of the table copies chosen"},
	{FeedSourceLost, hclog.Info, "source of the table copies lost"},
	{MissingRowsKept, hclog.Info, "missing rows kept after an outage of the store"},
	{MissingRowsSettled, hclog.Info, "missing rows are back or removed"},
	{PeerConnected, hclog.Info, "peer connected"},
	{PeerLost, hclog.Info, "peer lost"},
	{PeerRejected, hclog.Warn, "peer rejected"},
	{PeersExpired, hclog.Info, "peers expired"},
	{DaemonRegistered, hclog.Info, "address registered for other daemons"},
	{DaemonUnregistered, hclog.Info, "address of a lost daemon removed"},
	{OnceClaimed, hclog.Debug, "at-most-once record claimed"},
	{OnceReplayed, hclog.Info, "recorded outcome replayed"},
	{OnceOutcomeUnknown, hclog.Warn, "at-most-once outcome unknown"},
	{SuspectRecorded, hclog.Warn, "request suspected of crashing an upstream"},
	{RequestQuarantined, hclog.Warn, "request quarantined"},
	{PartsSuspected, hclog.Warn, "prompt parts suspected of crashing an upstream"},
	{PartQuarantined, hclog.Warn, "prompt part quarantined"},
	{PartTrial, hclog.Info, "trial of a quarantined prompt part"},
	{PartCleared, hclog.Info, "prompt part released from quarantine"},
	{PartRowFailed, hclog.Warn, "row of a quarantined prompt part not written"},
	{PartTrialUnrun, hclog.Info, "no upstream ran the trial of a quarantined prompt part"},
	{LeaseAcquired, hclog.Info, "lease acquired"},
	{LeaseLost, hclog.Warn, "lease lost"},
	{OrderSent, hclog.Info, "order sent"},
	{OrderRefused, hclog.Warn, "order refused"},
	{WeightsExpired, hclog.Warn, "weights expired"},
	{LeaseUnread, hclog.Info, "last holder of a lease not known"},
}

// Fields are the attributes of an event. Those that have no field of their own
// are part of Detail.
type Fields struct {
	Service   string `json:"service,omitempty"`
	RequestID string `json:"request_id,omitempty"`
	Upstream  string `json:"upstream,omitempty"`
	Route     string `json:"route,omitempty"`
	// Organisation is the organisation that sent the request.
	Organisation string `json:"organisation,omitempty"`
	// Revision is the revision of the desired state that was applied.
	Revision uint64 `json:"revision,omitempty"`
	// Omitted counts the events of this kind that sampling dropped since the last one.
	Omitted uint64 `json:"omitted,omitempty"`
	// Detail is free text.
	Detail string `json:"detail,omitempty"`
}

// Entry is one recorded event.
type Entry struct {
	At     Timestamp `json:"at"`
	Daemon string    `json:"daemon"`
	ID     ID        `json:"event"`
	Text   string    `json:"text"`
	Fields
}
