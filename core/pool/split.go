package pool

// Split returns the part of a limit that the holder with the given index
// (0 <= index < holders) may use. The parts of all holders add up to the
// limit and differ by at most one. It is zero for an index out of range.
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
