package storage

import "github.com/cobaltvale/cobaltvale/internal/protocol"

// Recover reads the shard's unfinished jobs with their finished tasks, as former holders have
// written them. It repeats the reads until they succeed. It is called once, before any write.
func (s *Shard) Recover(done func([]RecoveredJob)) {
	s.recoveryAttempts++
	s.listForRecovery(descriptionPagesPrefix(s.name), done, func(descriptions []protocol.KeyValue) {
		s.listForRecovery(finishedTaskPagesPrefix(s.name), done, func(finished []protocol.KeyValue) {
			jobs, unreadable := s.jobs.load(descriptions)
			s.unreadableKeys = append(s.unreadableKeys, unreadable...)
			s.unreadableKeys = append(s.unreadableKeys, s.finished.load(finished, jobs)...)
			done(jobs)
		})
	})
}

// listForRecovery lists keys, or restarts the recovery after retryDelay if that fails.
func (s *Shard) listForRecovery(prefix string, recoverDone func([]RecoveredJob), done func([]protocol.KeyValue)) {
	s.client.List(prefix, func(items []protocol.KeyValue, _ uint64, err error) {
		switch {
		case s.fence.lost:
		case err != nil:
			s.client.After(retryDelay, func() { s.retryRecover(recoverDone) })
		default:
			done(items)
		}
	})
}

// retryRecover restarts the recovery unless the shard is lost.
func (s *Shard) retryRecover(done func([]RecoveredJob)) {
	if !s.fence.lost {
		s.Recover(done)
	}
}

// UnfinishedJobs reads the unfinished jobs of a shard that another member holds, without their
// finished tasks. revision is that of the first page. The jobs include every one that was
// accepted before the call and had not ended by the time of its last page: descriptions never
// move between pages. err is ErrNoAnswer, or ErrUnreadableRecords if jobs may be missing.
func (s *Store) UnfinishedJobs(shard string, done func(jobs []RecoveredJob, revision uint64, err error)) {
	s.List(descriptionPagesPrefix(shard), func(items []protocol.KeyValue, revision uint64, err error) {
		records := decodeDescriptions(s.codec, shard, items)
		if err == nil && len(records.unreadableKeys) > 0 {
			err = ErrUnreadableRecords
		}
		done(records.unfinishedJobs(), revision, err)
	})
}

// shardDescriptions is the content of a shard's records that describe jobs.
type shardDescriptions struct {
	pages          []numberedPageRecord
	descriptions   []DescriptionRecord // also those of versions before 0.3, in the order of keys
	endedIDs       map[string]bool     // jobs that are listed as ended
	highestPage    int                 // highest page number, including pages that can't be read
	unreadableKeys []string            // keys of records of unknown format
}

// numberedPageRecord is the record of a description page with the page's number.
type numberedPageRecord struct {
	descriptionPageRecord
	number int
}

// decodeDescriptions decodes the description pages of a shard, and the descriptions that
// versions before 0.3 wrote. It skips the records that it can't read and returns their keys.
func decodeDescriptions(codec *protocol.Codec, shard string, items []protocol.KeyValue) shardDescriptions {
	records := shardDescriptions{endedIDs: make(map[string]bool)}
	for _, it := range items {
		number, err := pageNumber(it.Key, descriptionPagesPrefix(shard))
		if err != nil {
			records.addSingle(codec, it)
			continue
		}
		records.addPage(codec, it, number)
	}
	return records
}

// addSingle adds the description of one job in the format of versions before 0.3.
func (r *shardDescriptions) addSingle(codec *protocol.Codec, item protocol.KeyValue) {
	var record DescriptionRecord
	if codec.Decode(item.Value, &record) != nil || record.Job.Tasks <= 0 {
		r.unreadableKeys = append(r.unreadableKeys, item.Key)
		return
	}
	r.descriptions = append(r.descriptions, record)
}

// addPage adds the record of a description page.
func (r *shardDescriptions) addPage(codec *protocol.Codec, item protocol.KeyValue, number int) {
	r.highestPage = max(r.highestPage, number) // the number is in use even if the record can't be read
	page := numberedPageRecord{number: number}
	if codec.Decode(item.Value, &page.descriptionPageRecord) != nil || !page.valid() {
		r.unreadableKeys = append(r.unreadableKeys, item.Key)
		return
	}
	r.pages = append(r.pages, page)
	r.descriptions = append(r.descriptions, page.Jobs...)
	for _, id := range page.EndedIDs {
		r.endedIDs[id] = true
	}
}

// unfinishedJobs returns the jobs that are described and not listed as ended.
func (r *shardDescriptions) unfinishedJobs() []RecoveredJob {
	var jobs []RecoveredJob
	for _, d := range r.descriptions {
		if !r.endedIDs[d.Job.ID] {
			jobs = append(jobs, RecoveredJob{Job: d.Job, SubmittedAtMs: d.SubmittedAtMs, FinishedTasks: make([]bool, d.Job.Tasks)})
		}
	}
	return jobs
}

// load adds the description pages that former holders have written. It returns the unfinished
// jobs, and the keys of the records that can't be read.
func (w *jobWriter) load(items []protocol.KeyValue) (jobs []RecoveredJob, unreadable []string) {
	records := decodeDescriptions(w.client.codec, w.shard, items)
	w.lastPage = max(w.lastPage, records.highestPage)
	listingPages := make(map[string]*descriptionPage) // by the ID of the ended job
	for _, record := range records.pages {
		p := newDescriptionPage(record.number)
		w.pages = append(w.pages, p)
		for _, id := range record.EndedIDs {
			listingPages[id] = p
		}
	}
	for i, record := range records.pages {
		w.loadPage(w.pages[i], record.Jobs, listingPages)
	}
	return records.unfinishedJobs(), records.unreadableKeys
}

// loadPage adds the jobs of one page, except for those that another page lists as ended.
func (w *jobWriter) loadPage(p *descriptionPage, jobs []DescriptionRecord, listingPages map[string]*descriptionPage) {
	for _, record := range jobs {
		id := record.Job.ID
		if other := listingPages[id]; other != nil {
			other.endedIDs[id] = true
			p.staleDescriptions[id] = other
			continue
		}
		d := &description{record: record, page: p, maxSize: maxJSONSize(w.client.codec.Encode(record))}
		p.jobs[id], w.descriptions[id] = d, d
	}
}

// load adds the finished-task pages that former holders have written, and marks the finished
// tasks of jobs. It returns the keys of the records that can't be read.
func (w *finishedTaskWriter) load(items []protocol.KeyValue, jobs []RecoveredJob) (unreadable []string) {
	byID := make(map[string]*RecoveredJob, len(jobs))
	for i := range jobs {
		byID[jobs[i].Job.ID] = &jobs[i]
	}
	for _, it := range items {
		number, numberErr := pageNumber(it.Key, finishedTaskPagesPrefix(w.shard))
		if numberErr == nil {
			w.lastPage = max(w.lastPage, number) // the number is in use even if the record can't be read
		}
		record, err := w.client.codec.DecodeTextMap(it.Value)
		if numberErr != nil || err != nil {
			unreadable = append(unreadable, it.Key)
			continue
		}
		w.loadPage(number, record, byID)
	}
	w.identifyOversizedPages()
	return unreadable
}

// loadPage adds one finished-task page.
func (w *finishedTaskWriter) loadPage(number int, record finishedTaskRecord, jobs map[string]*RecoveredJob) {
	p := newFinishedTaskPage(number)
	w.pages = append(w.pages, p)
	for name, text := range record {
		k, nameErr := parseEntryName(name)
		tasks, err := decodeBitSet(text)
		job := jobs[k.job]
		if nameErr != nil || err != nil || job == nil {
			continue // left over from a job that has ended, or malformed
		}
		w.loadTaskRange(p, k, tasks, job)
	}
	p.dirty = len(p.taskRanges) == 0
}

// loadTaskRange adds a task range, for which another page may have an entry too.
func (w *finishedTaskWriter) loadTaskRange(p *finishedTaskPage, k taskRangeKey, tasks bitSet, job *RecoveredJob) {
	r := w.taskRanges[k]
	if r == nil {
		r = &taskRange{page: p, maxSize: maxTaskRangeSize(&job.Job, k.index)}
		w.taskRanges[k] = r
	} else { // one of the two is an oversized page, see moveOffOversizedPage
		r.page, r.oversizedPage = p, r.page
	}
	r.tasks = union(r.tasks, tasks)
	p.add(k, r)
	markFinished(job, k.index*tasksPerRange, tasks)
}

// markFinished marks the tasks of a range, which begins at task first, as finished.
func markFinished(job *RecoveredJob, first int, tasks bitSet) {
	for i := range tasks.capacity() {
		if task := first + i; tasks.has(i) && task < len(job.FinishedTasks) {
			job.FinishedTasks[task] = true
		}
	}
}
