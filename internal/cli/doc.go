// Package cli implements the command line: running a daemon, creating its data folder,
// and the commands of operators, which call the admin interface of an entry.
package cli
