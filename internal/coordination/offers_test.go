package coordination

import (
	"testing"

	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

// recordingLink collects the frames that are sent on it.
type recordingLink struct{ frames []*meshpb.Frame }

func (l *recordingLink) Send(f *meshpb.Frame) { l.frames = append(l.frames, f) }
func (*recordingLink) Flush()                 {}
func (*recordingLink) Close()                 {}

// What is on offer counts for its job until its offer is closed, and each owner gets
// one offer with its own jobs.
func TestOffersCountUntilTheyAreClosed(t *testing.T) {
	updates := 0
	book := offerTable{updateUsage: func(*trackedJob) { updates++ }, byID: make(map[uint64]*offer)}
	var jobs []*trackedJob
	var links []*recordingLink
	for range 2 {
		link := &recordingLink{}
		owner := &peer{link: link}
		job := testJob(&meshpb.JobSummary{Cpus: 1})
		job.shard = &shardState{link: link, owner: owner}
		jobs, links = append(jobs, job), append(links, link)
	}
	response := &pendingResponse{machine: &machine{index: 7}, epoch: 3, sequence: 5}
	book.add(response, jobs[0])
	book.add(response, jobs[1])
	book.add(response, jobs[0])
	want(t, "offers", len(response.openOffers), 2)
	want(t, "offered", [2]int{jobs[0].offered, jobs[1].offered}, [2]int{2, 1})
	want(t, "updates of usage", updates, 3)

	book.send(response)
	sent := links[0].frames[0].GetOffer()
	want(t, "machine, epoch and sequence", [3]uint64{uint64(sent.MachineIndex), sent.Epoch, sent.Seq}, [3]uint64{7, 3, 5})
	want(t, "tasks", sent.Items[0].Count, uint32(2))
	want(t, "from its owner", book.find(sent.Id, jobs[0].shard.owner) != nil, true)
	want(t, "from another member", book.find(sent.Id, jobs[1].shard.owner) == nil, true)

	book.closeForLink(response, links[0])
	want(t, "offered after one was closed", [2]int{jobs[0].offered, jobs[1].offered}, [2]int{0, 1})
	want(t, "it is not found", book.find(sent.Id, jobs[0].shard.owner) == nil, true)
	book.closeAll(response)
	want(t, "offered after all were closed", [2]int{jobs[0].offered, jobs[1].offered}, [2]int{0, 0})
	want(t, "open", len(response.openOffers)+len(book.byID), 0)
}
