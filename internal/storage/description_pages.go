package storage

// maxEndedIDSize is the maximum size of the ID of an ended job in a record, in bytes as the
// state service counts them.
const maxEndedIDSize = 40

// description describes an unfinished job and names the page that holds the description.
type description struct {
	record  DescriptionRecord
	page    *descriptionPage
	maxSize int // upper bound of its size in the page's record, in bytes
}

// descriptionPage is the content of one record that describes many jobs, as far as the record
// is known to be written.
type descriptionPage struct {
	number   int
	jobs     map[string]*description // nil: the page has never been written
	endedIDs map[string]bool         // jobs that have ended and whose descriptions are on other pages
	// staleDescriptions has the ended jobs that the page's record still describes, each with
	// the page that lists the job as ended.
	staleDescriptions map[string]*descriptionPage
}

// newDescriptionPage returns a page without entries that counts as written.
func newDescriptionPage(number int) *descriptionPage {
	return &descriptionPage{
		number: number, jobs: make(map[string]*description),
		endedIDs: make(map[string]bool), staleDescriptions: make(map[string]*descriptionPage),
	}
}

// isNew reports whether the page has never been written.
func (p *descriptionPage) isNew() bool { return p.jobs == nil }

// markDescriptionStale records that another page now lists a job of this page as ended.
func (p *descriptionPage) markDescriptionStale(id string, listingPage *descriptionPage) {
	delete(p.jobs, id)
	p.staleDescriptions[id] = listingPage
}

// removeStaleDescriptions records that the page was written without its ended jobs. No page
// describes them any more, so the pages that list them as ended no longer have to.
func (p *descriptionPage) removeStaleDescriptions() {
	for id, listingPage := range p.staleDescriptions {
		delete(listingPage.endedIDs, id)
	}
	p.staleDescriptions = make(map[string]*descriptionPage)
}

// compactable reports whether the page's record has stale descriptions or is empty, so that a
// rewrite would free space.
func (p *descriptionPage) compactable() bool {
	return len(p.staleDescriptions) > 0 || len(p.jobs)+len(p.endedIDs) == 0
}

// pageDraft is the new content of a description page that a batch is going to write.
type pageDraft struct {
	page     *descriptionPage
	jobs     map[string]*description
	endedIDs map[string]bool
}

// newDraft returns a copy of the page's content for a batch to change.
func (p *descriptionPage) newDraft() *pageDraft {
	d := &pageDraft{page: p, jobs: make(map[string]*description, len(p.jobs)+1), endedIDs: make(map[string]bool, len(p.endedIDs)+1)}
	for id, j := range p.jobs {
		d.jobs[id] = j
	}
	for id := range p.endedIDs {
		d.endedIDs[id] = true
	}
	return d
}

// maxSize returns an upper bound of the size of the draft's record, in bytes.
func (d *pageDraft) maxSize() int {
	size := maxEndedIDSize * len(d.endedIDs)
	for _, j := range d.jobs {
		size += j.maxSize
	}
	return size
}

// isEmpty reports whether the draft has no entries, so that its record is to be deleted.
func (d *pageDraft) isEmpty() bool { return len(d.jobs)+len(d.endedIDs) == 0 }

// record returns the value to write for the draft.
func (d *pageDraft) record() descriptionPageRecord {
	var r descriptionPageRecord
	for _, j := range d.jobs {
		r.Jobs = append(r.Jobs, j.record)
	}
	for id := range d.endedIDs {
		r.EndedIDs = append(r.EndedIDs, id)
	}
	return r
}
