package result

import "net/http"

// Info is the documented meaning of a code.
type Info struct {
	Code    Code
	Name    string
	Class   Class
	Status  int    // HTTP status
	Meaning string // what happened
	Advice  string // what the caller should do
}

var table = []Info{
	{OK, "ok", Ran, http.StatusOK, "Done.", "Nothing."},

	{KeyMissing, "key-missing", NotRun, http.StatusUnauthorized, "The route needs a key, but the request has none.", "Send Authorization: Bearer KEY."},
	{KeyUnknown, "key-unknown", NotRun, http.StatusUnauthorized, "No account has this key.", "Check the key with the operator."},
	{KeyWithdrawn, "key-withdrawn", Unknown, http.StatusUnauthorized, "The key was withdrawn while the request ran.", "Ask the operator for a new key."},
	{NotOwner, "not-owner", NotRun, http.StatusForbidden, "The resource belongs to another account.", "Use the key of the owning account."},
	{ServiceUnknown, "service-unknown", NotRun, http.StatusNotFound, "No such service.", "Check the service name."},
	{RouteUnknown, "route-unknown", NotRun, http.StatusNotFound, "The service has no such route.", "Check method and path against the service document."},
	{BodyTooLarge, "body-too-large", NotRun, http.StatusRequestEntityTooLarge, "The body exceeds the limit.", "Send a smaller body."},
	{BodyMalformed, "body-malformed", NotRun, http.StatusBadRequest, "The body or a parameter cannot be read.", "Correct the request."},
	{NotOperator, "not-operator", NotRun, http.StatusForbidden, "The key is not an operator key.", "Use an operator key."},
	{IdempotencyKeyReused, "idempotency-key-reused", NotRun, http.StatusUnprocessableEntity, "The idempotency key was already used with another request.", "Use a new idempotency key."},
	{IdempotencyKeyMissing, "idempotency-key-missing", NotRun, http.StatusBadRequest, "The route is not idempotent and needs an Idempotency-Key.", "Send an Idempotency-Key."},

	{NotFresh, "not-fresh", NotRun, http.StatusServiceUnavailable, "The freshness lease of this entry has expired.", "Use another entry, or come back after Retry-After."},
	{Draining, "draining", NotRun, http.StatusServiceUnavailable, "This entry is shutting down.", "Ask /v1/entries for another address."},
	{NoUpstream, "no-upstream", NotRun, http.StatusServiceUnavailable, "No upstream can accept the request.", "Come back after Retry-After."},
	{Overloaded, "overloaded", NotRun, http.StatusTooManyRequests, "The queue of the account is full.", "Come back after Retry-After."},
	{DeadlineUnmet, "deadline-unmet", NotRun, http.StatusServiceUnavailable, "The deadline cannot be met.", "Come back after Retry-After, or allow more time."},
	{UpstreamFailed, "upstream-failed", Unknown, http.StatusBadGateway, "The upstream failed after the request was sent to it.", "Send again only if the request may run twice."},
	{UpstreamTimeout, "upstream-timeout", Unknown, http.StatusGatewayTimeout, "The upstream did not answer in time.", "Send again only if the request may run twice."},
	{AnswerCrossed, "answer-crossed", Unknown, http.StatusBadGateway, "The upstream sent the answer to another request.", "Send again only if the request may run twice."},
	{AnswerCut, "answer-cut", Unknown, http.StatusBadGateway, "The answer ended before its end marker.", "Send again only if the request may run twice."},
	{Quarantined, "quarantined", NotRun, http.StatusUnprocessableEntity, "The request is quarantined because it crashed upstreams.", "Do not send it again; ask the operator."},
	{ClaimBusy, "claim-busy", NotRun, http.StatusConflict, "The first request with this idempotency key is still running.", "Come back after Retry-After for its answer."},
	{OutcomeUnknown, "outcome-unknown", Unknown, http.StatusBadGateway, "The first request with this idempotency key may have run; its answer is lost.", "Check the effect out of band; it will not be run again."},
	{NoQuorum, "no-quorum", NotRun, http.StatusServiceUnavailable, "The control log cannot commit at present.", "Come back after Retry-After."},
	{UpstreamUnreached, "upstream-unreached", NotRun, http.StatusBadGateway, "No connection to any upstream could be made.", "Come back after Retry-After."},
	{LimitReached, "limit-reached", NotRun, http.StatusTooManyRequests, "The account's limit is reached.", "Come back after Retry-After."},
	{FreshnessLost, "freshness-lost", Unknown, http.StatusServiceUnavailable, "The freshness lease of the entry expired while the request ran, so the key could no longer be checked.", "Use another entry; send again only if the request may run twice."},
	{AnswerNotKept, "answer-not-kept", Ran, http.StatusGone, "The first request with this idempotency key ran and was answered, but its answer was too large to retain.", "Do not send it again; check the effect out of band."},
	{QuarantinedNow, "quarantined-now", Unknown, http.StatusUnprocessableEntity, "The request crashed upstreams while it ran and is now quarantined.", "Do not send it again; ask the operator."},
	{UpstreamBusy, "upstream-busy", NotRun, http.StatusServiceUnavailable, "The upstream is at its capacity and did not run the request.", "Come back after Retry-After."},
	{UpstreamMoved, "upstream-moved", NotRun, http.StatusServiceUnavailable, "Another upstream answers at the address and did not run the request.", "Come back after Retry-After."},
	{NoConfiguration, "no-configuration", NotRun, http.StatusServiceUnavailable, "This entry has no configuration yet.", "Use another entry, or come back after Retry-After."},
	{Stopped, "stopped", Unknown, http.StatusBadGateway, "The work was stopped because its batch job ended.", "Nothing."},
	{NoEntry, "no-entry", NotRun, http.StatusServiceUnavailable, "This daemon does not know an entry that accepts callers yet.", "Come back after Retry-After, or ask another daemon."},
	{OriginUnknown, "origin-unknown", NotRun, http.StatusServiceUnavailable, "It is not known which software version began the stream, so no upstream may go on with it.", "Come back after Retry-After if there is one, else begin the stream anew."},
	{VersionGone, "version-gone", NotRun, http.StatusServiceUnavailable, "No upstream of the software version that began the stream serves, or the route leads to its service no more.", "Come back after Retry-After if there is one, else begin the stream anew."},
	{MemoryFull, "memory-full", NotRun, http.StatusServiceUnavailable, "The memory for bodies or batch jobs is in use.", "Come back after Retry-After, or use another entry."},

	{StepUnknown, "step-unknown", NotRun, http.StatusNotFound, "No such step.", "Open the step first."},
	{StepMoved, "step-moved", NotRun, http.StatusConflict, "The owner of the step failed or was replaced.", "Open the step again under the same id."},
	{StepConflict, "step-conflict", NotRun, http.StatusConflict, "The step id was already used with different content.", "Use a new step id."},
	{CursorWrong, "cursor-wrong", NotRun, http.StatusConflict, "The cursor is beyond the last committed position, or before the acknowledged one.", "Use the cursor of the last sample taken."},
	{StaleVersion, "stale-version", Ran, http.StatusConflict, "The sample is older than the staleness bound.", "Nothing; it is generated anew."},
	{StepSuperseded, "step-superseded", NotRun, http.StatusConflict, "The step was opened again by a newer request.", "Leave the step to the process that opened it last."},
	{LabelMissing, "label-missing", Ran, http.StatusBadGateway, "The engine did not report the weight version of each token.", "Check the engine; the sample is generated anew."},
	{SampleMoved, "sample-moved", Ran, http.StatusConflict, "The sample is resumed at another upstream.", "Nothing."},
	{SampleRefused, "sample-refused", Ran, http.StatusUnprocessableEntity, "The upstream reported that the item can never be run.", "Do not send the item again."},
	{SampleFailed, "sample-failed", Ran, http.StatusBadGateway, "The upstream failed on the item.", "Nothing; it is run again while attempts are left."},

	{NotLeader, "not-leader", NotRun, http.StatusServiceUnavailable, "No leader can be reached.", "Come back after Retry-After."},
	{VersionConflict, "version-conflict", NotRun, http.StatusConflict, "Another edit has this version number.", "Read the current version and edit again."},
	{NotFound, "not-found", NotRun, http.StatusNotFound, "No such item.", "Check the name."},
	{AlreadyExists, "already-exists", NotRun, http.StatusConflict, "The item exists.", "Use another name."},
	{NotReplica, "not-replica", NotRun, http.StatusServiceUnavailable, "This daemon has no control log.", "Ask a replica."},
	{Fenced, "fenced", NotRun, http.StatusConflict, "A newer fencing token is in use.", "Stop; another process is in charge."},
	{MemberConflict, "member-conflict", NotRun, http.StatusConflict, "Another membership change is in progress, or this one is not allowed.", "Try again when the change has ended."},
	{SpendingCap, "spending-cap", NotRun, http.StatusConflict, "The order would exceed the spending cap.", "Raise the cap in the service document."},
	{CommitUnknown, "commit-unknown", Unknown, http.StatusServiceUnavailable, "The change was sent, but its outcome is unknown: it may be active.", "Send it again with the same Operation-Id."},
	{DeltaOld, "delta-old", Unknown, http.StatusConflict, "A usage delta is too old to tell whether it was counted.", "Nothing; look at the entry that was cut off for so long."},
	{OrderConflict, "order-conflict", NotRun, http.StatusConflict, "Another order was committed since this one was planned.", "Plan again from the current orders."},

	{SettingUnknown, "setting-unknown", NotRun, http.StatusBadRequest, "Unknown section or key.", "Correct the name."},
	{SettingInvalid, "setting-invalid", NotRun, http.StatusBadRequest, "The value is not allowed.", "Correct the value."},
	{SettingMissing, "setting-missing", NotRun, http.StatusBadRequest, "A required key is missing.", "Add the key."},
	{SettingRepeated, "setting-repeated", NotRun, http.StatusBadRequest, "The key or section occurs twice.", "Remove one."},
	{DocumentInvalid, "document-invalid", NotRun, http.StatusBadRequest, "The service document was rejected as a whole.", "Correct the lines named."},
	{DataCorrupt, "data-corrupt", NotRun, http.StatusInternalServerError, "A file of the data folder is damaged.", "Replace the replica; see OPERATIONS."},
	{DataMissing, "data-missing", NotRun, http.StatusInternalServerError, "The data folder was not initialised.", "Run apricotstream init or join; see OPERATIONS."},
	{DataNewer, "data-newer", NotRun, http.StatusInternalServerError, "A log entry or snapshot was written by a newer build.", "Start the newer build; see OPERATIONS."},
	{FolderInUse, "folder-in-use", NotRun, http.StatusInternalServerError, "Another process uses the data folder.", "Stop that process; see OPERATIONS."},
	{Internal, "internal", Unknown, http.StatusInternalServerError, "An unexpected failure.", "Report it with the request id."},
}

var byCode = indexByCode()

func indexByCode() map[Code]Info {
	m := make(map[Code]Info, len(table))
	for _, i := range table {
		m[i.Code] = i
	}
	return m
}

// Table returns the Info of every code, in ascending order of codes.
func Table() []Info {
	return append([]Info(nil), table...)
}

// Info returns the documented meaning of c, or that of Internal if c is not in the table.
func (c Code) Info() Info {
	if i, ok := byCode[c]; ok {
		return i
	}
	return byCode[Internal]
}
