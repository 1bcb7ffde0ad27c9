package result

// Class says whether a request ran.
type Class string

const (
	// NotRun guarantees that no upstream received any byte of the request.
	NotRun Class = "not run"
	// Ran means the request was executed and its outcome is known.
	Ran Class = "ran"
	// Unknown means the request may or may not have been executed.
	Unknown Class = "unknown"
)
