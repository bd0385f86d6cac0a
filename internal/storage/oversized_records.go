package storage

// Compatibility with records of the version before, which it wrote under larger
// limits: they are read, and never rewritten. It can go once production is a version
// that keeps the smaller limits from its start and no larger record is left.

// moveOffOversizedPage takes a task range whose page was written under larger limits, and
// can't be rewritten, to another. The old page stays as it is until the jobs of all of
// its task ranges are over; whoever reads both takes what either says.
func (w *finishedTaskWriter) moveOffOversizedPage(k taskRangeKey, r *taskRange) {
	if r.page.maxSize > w.client.limits.ValueBytes {
		r.oversizedPage = r.page
		w.assignPage(k, r)
	}
}

// identifyOversizedPages finds out, after pages were read, which of the two pages that say
// something of a task range is the oversized one.
func (w *finishedTaskWriter) identifyOversizedPages() {
	for _, r := range w.taskRanges {
		if r.oversizedPage != nil && r.page.maxSize > r.oversizedPage.maxSize {
			r.page, r.oversizedPage = r.oversizedPage, r.page
		}
	}
}

// exceedsValueLimit tells whether a draft can't be written.
func (c *client) exceedsValueLimit(d *pageDraft) bool {
	return !d.isEmpty() && d.maxSize() > c.limits.ValueBytes
}
