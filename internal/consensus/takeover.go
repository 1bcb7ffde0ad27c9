package consensus

// takeoverIndex returns the index up to which a replica must hold the log to replace a voter
// that has lost its disk: that of the newest committed entry for which the lost voter may have
// counted in a quorum. A quorum that counted it for such an entry still has as many members if
// its successor counts instead. Entries of earlier terms may have been counted by other leaders.
// Of the entries of this term, this leader has counted the lost voter up to its match; a quorum
// without it has stored those after that. Unlike the commit index this one does not move once the
// voter is gone, so a slow successor reaches it under any load. docs/design/control.md
// has the whole argument.
func (n *Node) takeoverIndex(lost ID) uint64 {
	held := n.electedAfter
	if p := n.progress[lost]; p != nil {
		held = max(held, p.match)
	}
	return min(n.commit, held)
}
