// Package storage stores a replica's log, hard state and snapshot in one data folder.
// When a call returns without an error, its changes are synced to disk.
//
// The files are identity.json (written once by init or join), snapshot-N.json and
// log-N.wal, where N is the index of the last log entry that the snapshot replaces. Files
// with other names are left alone. A folder without identity.json holds no replica, whatever
// else it has. A torn record at the end of the newest log is truncated. Any other damage is
// reported with the code DataCorrupt and the name of the file.
package storage
