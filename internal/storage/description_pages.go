package storage

// maxEndedIDSize is what the id of an ended job takes in a record at the most.
const maxEndedIDSize = 40

// description is an unfinished job and the page that describes it.
type description struct {
	record  DescriptionRecord
	page    *descriptionPage
	maxSize int // that it takes in the page's record at the most
}

// descriptionPage is what one record says of many jobs, once it is surely written.
type descriptionPage struct {
	number   int
	jobs     map[string]*description // nil: the page has never been written
	endedIDs map[string]bool         // jobs that have ended and that other pages describe
	// superseded has the ended jobs that the page's record still describes, with the
	// page that lists them as ended.
	staleDescriptions map[string]*descriptionPage
}

// newDescriptionPage is a page that has been written, without entries.
func newDescriptionPage(number int) *descriptionPage {
	return &descriptionPage{
		number: number, jobs: make(map[string]*description),
		endedIDs: make(map[string]bool), staleDescriptions: make(map[string]*descriptionPage),
	}
}

// isNew tells whether the page has never been written.
func (p *descriptionPage) isNew() bool { return p.jobs == nil }

// supersede takes in that another page lists a job of this one as ended.
func (p *descriptionPage) markDescriptionStale(id string, listedIn *descriptionPage) {
	delete(p.jobs, id)
	p.staleDescriptions[id] = listedIn
}

// removeStaleDescriptions takes in that the page is written without its ended jobs: no page
// describes them any more, so none has to list them.
func (p *descriptionPage) removeStaleDescriptions() {
	for id, listedIn := range p.staleDescriptions {
		delete(listedIn.endedIDs, id)
	}
	p.staleDescriptions = make(map[string]*descriptionPage)
}

// compactable tells whether the page's record says something in vain.
func (p *descriptionPage) compactable() bool {
	return len(p.staleDescriptions) > 0 || len(p.jobs)+len(p.endedIDs) == 0
}

// pageDraft is what a batch makes of a description page.
type pageDraft struct {
	page     *descriptionPage
	jobs     map[string]*description
	endedIDs map[string]bool
}

// draft is a copy of what the page says, for a batch to change.
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

// maxSize is what a draft takes as a record at the most.
func (d *pageDraft) maxSize() int {
	size := maxEndedIDSize * len(d.endedIDs)
	for _, j := range d.jobs {
		size += j.maxSize
	}
	return size
}

// empty tells whether there is nothing to say, so that the record goes.
func (d *pageDraft) isEmpty() bool { return len(d.jobs)+len(d.endedIDs) == 0 }

// record is the draft's value.
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
