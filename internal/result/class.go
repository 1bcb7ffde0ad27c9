package result

// Class says whether a request ran.
type Class string

const (
	// NotRun guarantees that no upstream executed the request. An upstream may have received
	// and rejected it.
	NotRun Class = "not run"
	// Ran means the request was executed and its outcome is known.
	Ran Class = "ran"
	// Unknown means the request may or may not have been executed.
	Unknown Class = "unknown"
)
