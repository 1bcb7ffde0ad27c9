package result

// Code is the stable number of one kind of result. Numbers are never reused.
type Code int

// Codes, grouped by hundreds: 1xx request, 2xx traffic, 3xx rollouts and batch items,
// 4xx control, 5xx settings, documents and data folder.
const (
	OK Code = 0

	KeyMissing            Code = 101
	KeyUnknown            Code = 102
	KeyWithdrawn          Code = 103
	NotOwner              Code = 104
	ServiceUnknown        Code = 105
	RouteUnknown          Code = 106
	BodyTooLarge          Code = 107
	BodyMalformed         Code = 108
	NotOperator           Code = 109
	IdempotencyKeyReused  Code = 110
	IdempotencyKeyMissing Code = 111

	NotFresh          Code = 201
	Draining          Code = 202
	NoUpstream        Code = 203
	Overloaded        Code = 204
	DeadlineUnmet     Code = 205
	UpstreamFailed    Code = 206
	UpstreamTimeout   Code = 207
	AnswerCrossed     Code = 208
	AnswerCut         Code = 209
	Quarantined       Code = 210
	ClaimBusy         Code = 211
	OutcomeUnknown    Code = 212
	NoQuorum          Code = 213
	UpstreamUnreached Code = 214
	LimitReached      Code = 215
	FreshnessLost     Code = 216
	AnswerNotKept     Code = 217
	QuarantinedNow    Code = 218
	UpstreamBusy      Code = 219
	UpstreamMoved     Code = 220
	NoConfiguration   Code = 221
	Stopped           Code = 222
	NoEntry           Code = 223
	OriginUnknown     Code = 224
	VersionGone       Code = 225
	MemoryFull        Code = 226

	StepUnknown    Code = 301
	StepMoved      Code = 302
	StepConflict   Code = 303
	CursorWrong    Code = 304
	StaleVersion   Code = 305
	StepSuperseded Code = 306
	LabelMissing   Code = 307
	SampleMoved    Code = 308
	SampleRefused  Code = 309
	SampleFailed   Code = 310

	NotLeader       Code = 401
	VersionConflict Code = 402
	NotFound        Code = 403
	AlreadyExists   Code = 404
	NotReplica      Code = 405
	Fenced          Code = 406
	MemberConflict  Code = 407
	SpendingCap     Code = 408
	CommitUnknown   Code = 409
	DeltaOld        Code = 410
	OrderConflict   Code = 411

	SettingUnknown  Code = 501
	SettingInvalid  Code = 502
	SettingMissing  Code = 503
	SettingRepeated Code = 504
	DocumentInvalid Code = 505
	DataCorrupt     Code = 506
	DataMissing     Code = 507
	DataNewer       Code = 508
	FolderInUse     Code = 509
	Internal        Code = 599
)
