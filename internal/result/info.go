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

	{KeyMissing, "key-missing", NotRun, http.StatusUnauthorized, "The route needs a key and none came.", "Send Authorization: Bearer KEY."},
	{KeyUnknown, "key-unknown", NotRun, http.StatusUnauthorized, "No account has this key.", "Check the key with the operator."},
	{KeyWithdrawn, "key-withdrawn", Unknown, http.StatusUnauthorized, "The key was withdrawn while the request ran.", "Ask the operator for a new key."},
	{NotOwner, "not-owner", NotRun, http.StatusForbidden, "The resource belongs to another account.", "Use the key of the owning account."},
	{ServiceUnknown, "service-unknown", NotRun, http.StatusNotFound, "No such service.", "Check the service name."},
	{RouteUnknown, "route-unknown", NotRun, http.StatusNotFound, "The service has no such route.", "Check method and path against the service document."},
	{BodyTooLarge, "body-too-large", NotRun, http.StatusRequestEntityTooLarge, "The body exceeds the limit.", "Send a smaller body."},
	{BodyMalformed, "body-malformed", NotRun, http.StatusBadRequest, "The body or a parameter cannot be read.", "Correct the request."},
	{NotOperator, "not-operator", NotRun, http.StatusForbidden, "The key is not an operator key.", "Use an operator key."},
	{IdempotencyKeyReused, "idempotency-key-reused", NotRun, http.StatusUnprocessableEntity, "The idempotency key came before with another request.", "Use a new idempotency key."},
	{IdempotencyKeyMissing, "idempotency-key-missing", NotRun, http.StatusBadRequest, "The route is not idempotent and needs an Idempotency-Key.", "Send an Idempotency-Key."},

	{NotFresh, "not-fresh", NotRun, http.StatusServiceUnavailable, "This entry has not heard from the leader's side within its lease.", "Use another entry, or come back after Retry-After."},
	{Draining, "draining", NotRun, http.StatusServiceUnavailable, "This entry is shutting down.", "Ask /v1/entries for another address."},
	{NoUpstream, "no-upstream", NotRun, http.StatusServiceUnavailable, "No upstream can take the request.", "Come back after Retry-After."},
	{Overloaded, "overloaded", NotRun, http.StatusTooManyRequests, "The queue of the account is full.", "Come back after Retry-After."},
	{DeadlineUnmet, "deadline-unmet", NotRun, http.StatusServiceUnavailable, "The deadline cannot be met.", "Come back after Retry-After, or allow more time."},
	{UpstreamFailed, "upstream-failed", Unknown, http.StatusBadGateway, "The upstream failed while it had the request.", "Send again only if the request may run twice."},
	{UpstreamTimeout, "upstream-timeout", Unknown, http.StatusGatewayTimeout, "The upstream did not answer in time.", "Send again only if the request may run twice."},
	{AnswerCrossed, "answer-crossed", Unknown, http.StatusBadGateway, "The upstream answered another request.", "Send again only if the request may run twice."},
	{AnswerCut, "answer-cut", Unknown, http.StatusBadGateway, "The answer ended before its end marker.", "Send again only if the request may run twice."},
	{Quarantined, "quarantined", NotRun, http.StatusUnprocessableEntity, "The request is quarantined because it crashed upstreams.", "Do not send it again; ask the operator."},
	{ClaimBusy, "claim-busy", NotRun, http.StatusConflict, "The first sending of this idempotency key still runs.", "Come back after Retry-After for its answer."},
	{OutcomeUnknown, "outcome-unknown", Unknown, http.StatusBadGateway, "The first sending may have run; its answer is lost.", "Check the effect out of band; it will not be run again."},
	{NoQuorum, "no-quorum", NotRun, http.StatusServiceUnavailable, "The control log cannot commit now.", "Come back after Retry-After."},
	{UpstreamUnreached, "upstream-unreached", NotRun, http.StatusBadGateway, "No connection to any upstream could be made.", "Come back after Retry-After."},
	{LimitReached, "limit-reached", NotRun, http.StatusTooManyRequests, "The account's limit is reached.", "Come back after Retry-After."},
	{FreshnessLost, "freshness-lost", Unknown, http.StatusServiceUnavailable, "The entry lost touch with the leader's side while the request ran, so the key could no longer be checked.", "Use another entry; send again only if the request may run twice."},
	{AnswerNotKept, "answer-not-kept", Ran, http.StatusGone, "The first sending ran and was answered; its answer was too large to keep.", "Do not send it again; check the effect out of band."},
	{QuarantinedNow, "quarantined-now", Unknown, http.StatusUnprocessableEntity, "The request crashed upstreams while it ran and is quarantined now.", "Do not send it again; ask the operator."},
	{UpstreamBusy, "upstream-busy", NotRun, http.StatusServiceUnavailable, "The upstream is full and did not run the request.", "Come back after Retry-After."},
	{UpstreamMoved, "upstream-moved", NotRun, http.StatusServiceUnavailable, "Another upstream answers at the address; it did not run the request.", "Come back after Retry-After."},
	{NoConfiguration, "no-configuration", NotRun, http.StatusServiceUnavailable, "This entry has no configuration yet.", "Use another entry, or come back after Retry-After."},
	{Stopped, "stopped", Unknown, http.StatusBadGateway, "The work was stopped because its batch job ended.", "Nothing."},
	{NoEntry, "no-entry", NotRun, http.StatusServiceUnavailable, "This daemon knows no entry that takes callers yet.", "Come back after Retry-After, or ask another daemon."},

	{StepUnknown, "step-unknown", NotRun, http.StatusNotFound, "No such step.", "Open the step first."},
	{StepMoved, "step-moved", NotRun, http.StatusConflict, "The owner of the step was lost or replaced.", "Open the step again under the same id."},
	{StepConflict, "step-conflict", NotRun, http.StatusConflict, "The step id came before with another content.", "Use a new step id."},
	{CursorWrong, "cursor-wrong", NotRun, http.StatusConflict, "The cursor is beyond the last committed position, or before the acknowledged one.", "Use the cursor of the last sample taken."},
	{StaleVersion, "stale-version", Ran, http.StatusConflict, "The sample is older than the staleness bound.", "Nothing; it is generated anew."},
	{StepSuperseded, "step-superseded", NotRun, http.StatusConflict, "A newer opening of the step has come.", "Leave the step to the process that opened it last."},
	{LabelMissing, "label-missing", Ran, http.StatusBadGateway, "The engine did not report what produced each token.", "Check the engine; the sample is generated anew."},
	{SampleMoved, "sample-moved", Ran, http.StatusConflict, "The sample goes on at another upstream.", "Nothing."},
	{SampleRefused, "sample-refused", Ran, http.StatusUnprocessableEntity, "The upstream says that the item can never be done.", "Do not send the item again."},
	{SampleFailed, "sample-failed", Ran, http.StatusBadGateway, "The upstream failed on the item.", "Nothing; it is run again while attempts are left."},

	{NotLeader, "not-leader", NotRun, http.StatusServiceUnavailable, "No leader can be reached.", "Come back after Retry-After."},
	{VersionConflict, "version-conflict", NotRun, http.StatusConflict, "Another edit has this version number.", "Read the current version and edit again."},
	{NotFound, "not-found", NotRun, http.StatusNotFound, "No such item.", "Check the name."},
	{AlreadyExists, "already-exists", NotRun, http.StatusConflict, "The item exists.", "Use another name."},
	{NotReplica, "not-replica", NotRun, http.StatusServiceUnavailable, "This daemon has no control log.", "Ask a replica."},
	{Fenced, "fenced", NotRun, http.StatusConflict, "A newer fencing number is in use.", "Stop; another process is in charge."},
	{MemberConflict, "member-conflict", NotRun, http.StatusConflict, "Another membership change is under way, or this one is not allowed.", "Try again when the change has ended."},
	{SpendingCap, "spending-cap", NotRun, http.StatusConflict, "The order would pass the spending cap.", "Raise the cap in the service document."},
	{CommitUnknown, "commit-unknown", Unknown, http.StatusServiceUnavailable, "The change was sent, but its outcome is unknown: it may be active.", "Send it again with the same Operation-Id."},
	{DeltaOld, "delta-old", Unknown, http.StatusConflict, "A usage delta is so old that nobody can tell whether it was counted.", "Nothing; look at the entry that was cut off for so long."},
	{OrderConflict, "order-conflict", NotRun, http.StatusConflict, "Another order was committed since this one was planned.", "Plan again from the current orders."},

	{SettingUnknown, "setting-unknown", NotRun, http.StatusBadRequest, "Unknown section or key.", "Correct the name."},
	{SettingInvalid, "setting-invalid", NotRun, http.StatusBadRequest, "The value is not allowed.", "Correct the value."},
	{SettingMissing, "setting-missing", NotRun, http.StatusBadRequest, "A required key is missing.", "Add the key."},
	{SettingRepeated, "setting-repeated", NotRun, http.StatusBadRequest, "The key or section occurs twice.", "Remove one."},
	{DocumentInvalid, "document-invalid", NotRun, http.StatusBadRequest, "The service document is refused whole.", "Correct the lines named."},
	{DataCorrupt, "data-corrupt", NotRun, http.StatusInternalServerError, "A file of the data folder is damaged.", "Replace the replica; see OPERATIONS."},
	{DataMissing, "data-missing", NotRun, http.StatusInternalServerError, "The data folder was not initialised.", "Run apricotstream init or join; see OPERATIONS."},
	{Internal, "internal", Unknown, http.StatusInternalServerError, "An unexpected failure.", "Report it with the request id."},
}

var byCode = index()

func index() map[Code]Info {
	m := make(map[Code]Info, len(table))
	for _, i := range table {
		m[i.Code] = i
	}
	return m
}

// Table returns every code in ascending order.
func Table() []Info {
	return append([]Info(nil), table...)
}

// Info returns the documented meaning of c; an unlisted code reads as Internal.
func (c Code) Info() Info {
	if i, ok := byCode[c]; ok {
		return i
	}
	return byCode[Internal]
}
