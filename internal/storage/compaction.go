package storage

import "time"

const (
	// compactionThreshold is the number of stale descriptions at which a page is rewritten with
	// the next batch.
	compactionThreshold = 8
	// compactionInterval is the minimum time between two page rewrites that run while no other
	// writes are queued.
	compactionInterval = 2 * time.Second
)

// addCompaction adds a rewrite of the page with the most stale descriptions to a batch, if
// there are at least compactionThreshold of them and the batch has room.
func (w *jobWriter) addCompaction(b *batch) {
	if b.full {
		return
	}
	p := w.pageWithMostStaleDescriptions(b)
	if p != nil && len(p.staleDescriptions) >= compactionThreshold && len(b.txn.Then)+len(b.drafts) < b.maxChanges {
		b.drafts = append(b.drafts, p.newDraft())
	}
}

// compact rewrites one page that has stale descriptions or is empty. It writes one page at a
// time, and only while no other writes are queued.
func (w *jobWriter) compact() {
	now := w.client.Now()
	if w.inFlight != nil || len(w.queue) > 0 || now < w.nextCompactionAt || !w.client.idle() {
		return
	}
	b := &batch{}
	p := w.pageWithMostStaleDescriptions(b)
	if p == nil {
		return
	}
	w.nextCompactionAt = now + compactionInterval
	b.drafts = append(b.drafts, p.newDraft())
	w.send(b)
}

// pageWithMostStaleDescriptions returns, of the pages that a batch doesn't rewrite, a
// compactable one with the most stale descriptions, or nil.
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
