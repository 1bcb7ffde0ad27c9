// Package configcheck finds what is wrong with a configuration before it is sent, and what changes
// between two configurations. It has no I/O, and its results contain no keys and no hashes of keys.
package configcheck
