package storage

// Compatibility with records of the version before, which it wrote under larger
// limits: they are read, and never rewritten. It can go once production is a version
// that keeps the smaller limits from its start and no larger record is left.

// move takes a chunk whose page was written under larger limits, and can't be
// rewritten, to another. The old one stays as it is until all of its chunks' jobs
// are over; whoever reads both takes what either says.
func (l *Ledger) move(k chunkKey, c *chunk) {
	if c.page.room > l.store.limits.ValueBytes {
		c.old, c.page = c.page, nil
		l.place(k, c)
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

// tooLarge tells whether a draft can't be written.
func (s *Store) tooLarge(d *draft) bool { return !d.empty() && d.room() > s.limits.ValueBytes }
