package deployment

// Revision is a position in the history of the platform's store.
type Revision struct {
	// Era rises each time the store comes back from an older copy of itself; 0 if the
	// store does not tell it.
	Era int64
	// Number rises with each change within an era. After the store has come back, the
	// numbers after that of the copy are given out again.
	Number int64
}

// IsZero reports whether r is the position before the first change.
func (r Revision) IsZero() bool { return r == Revision{} }

// Before reports whether r is an earlier position than o.
func (r Revision) Before(o Revision) bool {
	return r.Era < o.Era || r.Era == o.Era && r.Number < o.Number
}

// Later returns the later one of two positions.
func (r Revision) Later(o Revision) Revision {
	if r.Before(o) {
		return o
	}
	return r
}
