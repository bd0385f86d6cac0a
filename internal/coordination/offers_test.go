package coordination

import (
	"testing"

	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

// recordingLink records the frames that are sent on it.
type recordingLink struct{ frames []*meshpb.Frame }

func (l *recordingLink) Send(f *meshpb.Frame) { l.frames = append(l.frames, f) }
func (*recordingLink) Flush()                 {}
func (*recordingLink) Close()                 {}

// Offered tasks count for their jobs until the offer is closed, and each owner gets one
// offer, with its own jobs.
func TestOffersCountUntilTheyAreClosed(t *testing.T) {
	updates := 0
	table := offerTable{updateUsage: func(*trackedJob) { updates++ }, byID: make(map[uint64]*offer)}
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
	table.add(response, jobs[0])
	table.add(response, jobs[1])
	table.add(response, jobs[0])
	requireEqual(t, "offers", len(response.openOffers), 2)
	requireEqual(t, "offered", [2]int{jobs[0].offered, jobs[1].offered}, [2]int{2, 1})
	requireEqual(t, "updates of usage", updates, 3)

	table.send(response)
	sent := links[0].frames[0].GetOffer()
	requireEqual(t, "machine, epoch and sequence", [3]uint64{uint64(sent.MachineIndex), sent.Epoch, sent.Seq}, [3]uint64{7, 3, 5})
	requireEqual(t, "tasks", sent.Items[0].Count, uint32(2))
	requireEqual(t, "found by its owner", table.find(sent.Id, jobs[0].shard.owner) != nil, true)
	requireEqual(t, "not found by another member", table.find(sent.Id, jobs[1].shard.owner) == nil, true)

	table.closeForLink(response, links[0])
	requireEqual(t, "offered after one offer was closed", [2]int{jobs[0].offered, jobs[1].offered}, [2]int{0, 1})
	requireEqual(t, "not found after it was closed", table.find(sent.Id, jobs[0].shard.owner) == nil, true)
	table.closeAll(response)
	requireEqual(t, "offered after all offers were closed", [2]int{jobs[0].offered, jobs[1].offered}, [2]int{0, 0})
	requireEqual(t, "open offers", len(response.openOffers)+len(table.byID), 0)
}
