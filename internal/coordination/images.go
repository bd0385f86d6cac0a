package coordination

import (
	"math"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

const (
	longFetchThreshold     = 10 * time.Second // a fetch that others should not slow down
	fetchPayoffFactor      = 1.0              // how many times its length a fetch must save
	shortFetchShare        = 0.1              // of a task's run time, what a fetch may always take
	minShortFetchThreshold = time.Second      // and at the least
	maxExpectedWait        = time.Hour        // that is told apart
)

// image is one that tasks need, with the work that waits for it set against the
// machines that have it.
type image struct {
	name   string
	sizeGB float64

	// Of imageTable.
	hasPending                                bool    // work waits for it
	machineCPUs, machineMemoryGB              float64 // of the machines that have it
	pendingCPUSeconds, pendingMemoryGBSeconds float64 // that wait for it
	spotFree                                  resources

	// Of the shortage that preemption works out.
	urgentCPUs   float64     // of urgent tasks that lack room
	standardCPUs float64     // the same of standard tasks, where idle-time work runs
	standardJob  *trackedJob // the first of these
}

// cachedImage is an image that a machine has, or is fetching.
type cachedImage struct {
	*image
	lastUsed time.Duration
}

// imageTable holds the images that jobs or machines name, and what waits for them.
// The latter is worked out anew with the order of pending jobs: resetDemand, then
// addPending for every job and addMachine for every machine.
type imageTable struct {
	byName map[string]*image
}

// get returns the image of a name, which it makes known.
func (t *imageTable) get(name string, sizeGB float64) *image {
	im := t.byName[name]
	if im == nil {
		if t.byName == nil {
			t.byName = make(map[string]*image)
		}
		im = &image{name: name}
		t.byName[name] = im
	}
	im.sizeGB = math.Max(im.sizeGB, sizeGB)
	return im
}

// resetDemand forgets what waits for images and which machines have them.
func (t *imageTable) resetDemand() {
	for _, im := range t.byName {
		*im = image{name: im.name, sizeGB: im.sizeGB, urgentCPUs: im.urgentCPUs, standardCPUs: im.standardCPUs, standardJob: im.standardJob}
	}
}

// addPending counts the tasks of a job that wait for an image.
func (im *image) addPending(tasks float64, spec *meshpb.JobSummary, runTime time.Duration) {
	im.hasPending = true
	run := runTime.Seconds()
	im.pendingCPUSeconds += tasks * run * spec.Cpus
	im.pendingMemoryGBSeconds += tasks * run * spec.MemoryGb
}

// addMachine divides a machine among those of its images that work waits for.
func (t *imageTable) addMachine(m *machine, machineType *protocol.MachineType) {
	m.wantedImages = 0
	for i := range m.images {
		if m.images[i].hasPending {
			m.wantedImages++
		}
	}
	for i := range m.images {
		im := m.images[i].image
		if im.hasPending {
			im.machineCPUs += machineType.CPUs / float64(m.wantedImages)
			im.machineMemoryGB += machineType.MemoryGB / float64(m.wantedImages)
		}
		if m.spot {
			im.spotFree.cpus += m.free.cpus
			im.spotFree.gpus += m.free.gpus
			im.spotFree.memoryGB += m.free.memoryGB
		}
	}
}

// removeUnused forgets the images that no unfinished job and no machine names.
func (t *imageTable) removeUnused(shards *shardRegistry, machines *machineTable) {
	named := make(map[*image]bool, len(t.byName))
	for _, shard := range shards.byName {
		for _, job := range shard.jobs {
			named[job.image] = true
		}
	}
	for m := range machines.all {
		for i := range m.images {
			named[m.images[i].image] = true
		}
	}
	for name, im := range t.byName {
		if !named[im] {
			delete(t.byName, name)
		}
	}
}

// updateImageDemand sets the work that waits for each image against the machines that
// have it.
func (l *leader) updateImageDemand(now time.Duration) {
	l.images.resetDemand()
	for _, shard := range l.shards.byName {
		for _, job := range shard.jobs {
			if n := job.unoffered(); n > 0 && job.image != nil {
				job.image.addPending(float64(n), job.spec, l.runTime(job.spec))
			}
		}
	}
	for m := range l.machines.all {
		machineType := l.env.cloud.Type(m.typeName)
		if machineType != nil && len(m.images) > 0 && l.schedulable(m, now) {
			l.images.addMachine(m, machineType)
		}
	}
}

// expectedWait is how long the tasks that wait for an image will wait, at the present
// rate, for the machines that have it.
func (im *image) expectedWait() time.Duration {
	if im == nil || im.pendingCPUSeconds+im.pendingMemoryGBSeconds == 0 {
		return 0
	}
	if im.machineCPUs == 0 || im.machineMemoryGB == 0 {
		return maxExpectedWait
	}
	return seconds(math.Min(maxExpectedWait.Seconds(), math.Max(im.pendingCPUSeconds/im.machineCPUs, im.pendingMemoryGBSeconds/im.machineMemoryGB)))
}

// fetchTime is how long a machine of a type takes to fetch an image.
func fetchTime(im *image, machineType *protocol.MachineType) time.Duration {
	if im == nil || machineType == nil || machineType.FetchRate <= 0 {
		return 0
	}
	return seconds(im.sizeGB / machineType.FetchRate)
}

// fetchIsShort tells whether a fetch takes so little against a task's run time that
// it is made whenever there is room.
func fetchIsShort(fetch, runTime time.Duration) bool {
	return fetch < max(minShortFetchThreshold, time.Duration(shortFetchShare*float64(runTime)))
}

// worthFetching tells whether a machine without a job's image should fetch it. A
// fetch holds the room of the tasks that wait for it, so it has to pay: the job's
// tasks must face a wait that is longer, by a good part of the fetch, than that of
// the work whose images the machine has already. Two fetches at once would only slow
// each other down. One that is short against the run is made whenever there is room.
func worthFetching(job *trackedJob, m *machine, machineType *protocol.MachineType, runTime time.Duration) bool {
	fetch := fetchTime(job.image, machineType)
	if fetchIsShort(fetch, runTime) || job.orderKey.Overdue {
		return true
	}
	if m.hasLongFetchOfAnother(job.image, machineType) {
		return false
	}
	own := time.Duration(0)
	if job.priority < protocol.PriorityUrgent {
		for i := range m.images {
			own = max(own, m.images[i].expectedWait())
		}
	}
	return job.image.expectedWait() > own+time.Duration(float64(fetch)*fetchPayoffFactor)
}

// hasLongFetchOfAnother tells whether a machine takes long to fetch another image.
func (m *machine) hasLongFetchOfAnother(im *image, machineType *protocol.MachineType) bool {
	for i := range m.tasks {
		t := &m.tasks[i]
		if t.state == protocol.TaskFetching && t.job != nil && t.job.image != im && fetchTime(t.job.image, machineType) > longFetchThreshold {
			return true
		}
	}
	return false
}

// hasImage tells whether a machine has an image, or is fetching it.
func (m *machine) hasImage(im *image) bool {
	for i := range m.images {
		if m.images[i].image == im {
			return true
		}
	}
	return false
}

// recordImageUse notes that a machine has an image, and which it will have dropped for it:
// the least recently used go first.
func (m *machine) recordImageUse(im *image, cacheGB float64, now time.Duration) {
	at := -1
	for i := range m.images {
		if m.images[i].image == im {
			at = i
		}
	}
	if at < 0 {
		m.images = append(m.images, cachedImage{image: im})
		at = len(m.images) - 1
		m.imagesChanged = true
	}
	m.images[at].lastUsed = now
	m.evictImages(im, cacheGB)
}

// evictImages drops the least recently used images, but for one, until the rest fits
// into a cache. A cache of size 0 has no limit.
func (m *machine) evictImages(kept *image, cacheGB float64) {
	for len(m.images) > 1 && cacheGB > 0 {
		sum, oldest := 0.0, -1
		for i, c := range m.images {
			sum += c.sizeGB
			if c.image != kept && (oldest < 0 || c.lastUsed < m.images[oldest].lastUsed) {
				oldest = i
			}
		}
		if sum <= cacheGB {
			return
		}
		m.images = append(m.images[:oldest], m.images[oldest+1:]...)
	}
}

// imageStatuses lists what a machine has cached.
func (m *machine) imageStatuses() []*meshpb.CachedImage {
	out := make([]*meshpb.CachedImage, 0, len(m.images))
	for i := range m.images {
		out = append(out, &meshpb.CachedImage{Name: m.images[i].name, SizeGb: m.images[i].sizeGB})
	}
	return out
}
