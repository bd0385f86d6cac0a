package storage

// Compatibility with records of the version before, which it wrote under larger
// limits: they are read, and never rewritten. It can go once production is a version
// that keeps the smaller limits from its start and no larger record is left.

// moveTaskRange takes a chunk whose page was written under larger limits, and can't be
// rewritten, to another. The old one stays as it is until all of its chunks' jobs
// are over; whoever reads both takes what either says.
func (s *Shard) moveTaskRange(k taskRangeKey, c *taskRange) {
	if c.page.maxSize > s.store.limits.ValueBytes {
		c.oversizedPage, c.page = c.page, nil
		s.placeTaskRange(k, c)
	}
}

// union is what either of two bit sets says.
func union(a, b []byte) []byte {
	if len(a) < len(b) {
		a, b = b, a
	}
	for i := range b {
		a[i] |= b[i]
	}
	return a
}

// exceedsValueLimit tells whether a draft can't be written.
func (s *Store) exceedsValueLimit(d *pageDraft) bool {
	return !d.empty() && d.maxSize() > s.limits.ValueBytes
}
