package storage

import "time"

const (
	// compactionThreshold is how many ended jobs a page describes before it is
	// rewritten with the next batch.
	compactionThreshold = 8
	// compactionInterval is between two pages that are rewritten while nothing else
	// is to be written.
	compactionInterval = 2 * time.Second
)

// addCompaction rewrites the page that describes most ended jobs with a batch, if they
// are many and the batch has room.
func (w *jobWriter) addCompaction(b *batch) {
	if b.full {
		return
	}
	p := w.pageWithMostStaleDescriptions(b)
	if p != nil && len(p.staleDescriptions) >= compactionThreshold && len(b.txn.Then)+len(b.drafts) < b.maxChanges {
		b.drafts = append(b.drafts, p.newDraft())
	}
}

// compact rewrites a page that says something in vain, one at a time and only while
// nothing else is to be written.
func (w *jobWriter) compact() {
	now := w.client.Now()
	if w.inFlight != nil || len(w.queue) > 0 || now < w.nextCompaction || !w.client.idle() {
		return
	}
	b := &batch{}
	p := w.pageWithMostStaleDescriptions(b)
	if p == nil {
		return
	}
	w.nextCompaction = now + compactionInterval
	b.drafts = append(b.drafts, p.newDraft())
	w.send(b)
}

// pageWithMostStaleDescriptions is the page outside a batch whose record says most in vain, or nil.
func (w *jobWriter) pageWithMostStaleDescriptions(b *batch) *descriptionPage {
	var best *descriptionPage
	for _, p := range w.pages {
		if b.draftOf(p) != nil || !p.compactable() || w.client.exceedsValueLimit(p.newDraft()) {
			continue
		}
		if best == nil || len(p.staleDescriptions) > len(best.staleDescriptions) {
			best = p
		}
	}
	return best
}
