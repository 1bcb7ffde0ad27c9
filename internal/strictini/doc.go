// Package strictini reads INI files strictly. It reports all unknown or repeated sections
// and keys, missing keys and invalid values of a file together, each with file, line and
// result code. The caller describes the sections and keys; the documentation of the file
// format is generated from the same descriptions.
package strictini
