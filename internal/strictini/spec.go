package strictini

// Key describes one key of a section.
type Key struct {
	Name     string
	Help     string // one sentence, with unit and range
	Default  string // shown in the documentation; the caller sets it before decoding
	Required bool
	Set      func(value string) error // stores the value; an error rejects it
}

// Section describes the keys of a section.
type Section struct {
	Keys []Key
	// Other stores a key that is not one of Keys. Nil: there are no others.
	Other func(name, value string) error
}

// Resolver returns the description of the named section, nil for an unknown section, or an
// error for an invalid section name. It is called once for each section of the file, in
// the order of the file.
type Resolver func(name string) (*Section, error)
