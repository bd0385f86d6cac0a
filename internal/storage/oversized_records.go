package storage

// Compatibility with records that the previous version wrote under larger limits. They are read
// but never rewritten. This file can be removed once production runs a version that has had the
// smaller limits from its start, and no larger record is left.

// moveOffOversizedPage moves a task range to another page if its page was written under larger
// limits and can't be rewritten. The old page stays unchanged until the jobs of all of its task
// ranges have ended; readers take the union of both pages.
func (w *finishedTaskWriter) moveOffOversizedPage(k taskRangeKey, r *taskRange) {
	if r.page.maxSize > w.client.limits.ValueBytes {
		r.oversizedPage = r.page
		w.assignPage(k, r)
	}
}

// identifyOversizedPages determines, after pages were read, which of the two pages that have
// entries for the same task range is the oversized one.
func (w *finishedTaskWriter) identifyOversizedPages() {
	for _, r := range w.taskRanges {
		if r.oversizedPage != nil && r.page.maxSize > r.oversizedPage.maxSize {
			r.page, r.oversizedPage = r.oversizedPage, r.page
		}
	}
}

// exceedsValueLimit reports whether a draft can't be written because it may exceed the state
// service's limit of a value.
func (c *client) exceedsValueLimit(d *pageDraft) bool {
	return !d.isEmpty() && d.maxSize() > c.limits.ValueBytes
}
