package pool

// Split divides a connection limit between the hosts that hold connections to
// the same server. It returns the part of the host with the given index
// (0 <= index < holders). The parts of all hosts add up to the limit and differ
// by at most one. The part is zero for an index out of range.
func Split(limit, holders, index int) int {
	if limit <= 0 || index < 0 || index >= holders {
		return 0
	}
	part := limit / holders
	if index < limit%holders {
		part++
	}
	return part
}
