// Package systest tests the whole system. Its daemons run as separate processes. The tests
// kill and freeze them, drop their connections silently and delete their data folders.
package systest
