package storage

// maxFindings bounds the names of each kind in Findings.
const maxFindings = 8

// Findings is what Open found in a folder besides the state of the replica, and what it changed.
type Findings struct {
	Foreign NameList // entries that are not files of the replica; all entries if there is no identity
	Removed NameList // files that Open removed: incomplete, or replaced by a snapshot
	Torn    TornRecord
}

// NameList is a list of names of files that is bounded.
type NameList struct {
	Names []string // at most maxFindings
	Count int
}

// TornRecord is the record at the end of a log that Open truncated. It is zero if there was none.
type TornRecord struct {
	File   string // path
	Offset int    // of the record
	Bytes  int    // of the record that were there
}

func (l *NameList) add(name string) {
	if l.Count++; len(l.Names) < maxFindings {
		l.Names = append(l.Names, name)
	}
}

// foreign lists the entries of dir that are not files of a replica, or all if hasIdentity is
// false. A folder that cannot be listed has none; opening it reports the error.
func foreign(fs fileSystem, dir string, hasIdentity bool) (l NameList) {
	names, err := fs.readDir(dir)
	if err != nil {
		return l
	}
	for _, n := range names {
		if kind := kindOf(n); !hasIdentity || kind == foreignFile || kind == systemKind {
			l.add(n)
		}
	}
	return l
}
