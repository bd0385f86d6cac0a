package coordination

import (
	"math"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

const (
	// longFetchThreshold is the fetch time above which a fetch counts as long. While a machine
	// makes a long fetch, only short ones are worth starting on it: two would slow each other
	// down.
	longFetchThreshold = 10 * time.Second
	// fetchPayoffFactor is how many times its own duration a fetch must save in waiting.
	fetchPayoffFactor = 1.0
	// shortFetchShare is the part of a task's run time below which a fetch counts as short.
	shortFetchShare = 0.1
	// minShortFetchThreshold is the time below which a fetch counts as short for any task.
	minShortFetchThreshold = time.Second
	// maxExpectedWait caps expected waits; longer ones are not distinguished.
	maxExpectedWait = time.Hour
)

// image is an image that tasks run from, with the work that waits for it and the capacity
// of the machines that have it.
type image struct {
	name   string
	sizeGB float64

	// Owned by imageTable.
	hasPending                                bool      // some pending task needs it
	machineCPUs, machineMemoryGB              float64   // shares of the machines that have it, see addMachine
	pendingCPUSeconds, pendingMemoryGBSeconds float64   // requests of the pending tasks times their run times
	spotFree                                  resources // free on spot machines that have it

	// Owned by preemptor, as parts of the shortage.
	urgentCPUs   float64     // of urgent tasks for which there is no room
	standardCPUs float64     // of pending standard tasks, which may preempt best-effort ones
	standardJob  *trackedJob // the first job with such standard tasks
}

// cachedImage is an image that a machine has or is fetching.
type cachedImage struct {
	*image
	lastUsed time.Duration
}

// imageTable holds the images that jobs or machines name, and the demand for them. The
// demand is recomputed whenever the scheduling order is rebuilt: by resetDemand, then
// addPending for every job, then addMachine for every machine.
type imageTable struct {
	byName map[string]*image
}

// get returns the image with a name. It adds the image if the table does not have it.
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

// resetDemand clears the demand for all images, and the capacity that has them.
func (t *imageTable) resetDemand() {
	for _, im := range t.byName {
		*im = image{name: im.name, sizeGB: im.sizeGB, urgentCPUs: im.urgentCPUs, standardCPUs: im.standardCPUs, standardJob: im.standardJob}
	}
}

// addPending adds pending tasks of a job to the demand for an image.
func (im *image) addPending(tasks float64, spec *meshpb.JobSummary, runTime time.Duration) {
	im.hasPending = true
	run := runTime.Seconds()
	im.pendingCPUSeconds += tasks * run * spec.Cpus
	im.pendingMemoryGBSeconds += tasks * run * spec.MemoryGb
}

// addMachine divides a machine's capacity equally among those of its images that pending
// tasks need. If it is a spot machine, its free resources are added to each of its images.
func (t *imageTable) addMachine(m *machine, machineType *protocol.MachineType) {
	m.imagesWithPendingTasks = 0
	for i := range m.images {
		if m.images[i].hasPending {
			m.imagesWithPendingTasks++
		}
	}
	for i := range m.images {
		im := m.images[i].image
		if im.hasPending {
			im.machineCPUs += machineType.CPUs / float64(m.imagesWithPendingTasks)
			im.machineMemoryGB += machineType.MemoryGB / float64(m.imagesWithPendingTasks)
		}
		if m.spot {
			im.spotFree.cpus += m.free.cpus
			im.spotFree.gpus += m.free.gpus
			im.spotFree.memoryGB += m.free.memoryGB
		}
	}
}

// removeUnused removes the images that no unfinished job and no machine names.
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

// updateImageDemand recomputes for each image the work that waits for it and the capacity
// of the machines that have it.
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

// expectedWait is how long it takes the machines that have an image to run all pending
// tasks that need it, at most maxExpectedWait.
func (im *image) expectedWait() time.Duration {
	if im == nil || im.pendingCPUSeconds+im.pendingMemoryGBSeconds == 0 {
		return 0
	}
	if im.machineCPUs == 0 || im.machineMemoryGB == 0 {
		return maxExpectedWait
	}
	return seconds(math.Min(maxExpectedWait.Seconds(), math.Max(im.pendingCPUSeconds/im.machineCPUs, im.pendingMemoryGBSeconds/im.machineMemoryGB)))
}

// fetchTime is how long a machine of a type takes to fetch an image; 0 if that is not
// known.
func fetchTime(im *image, machineType *protocol.MachineType) time.Duration {
	if im == nil || machineType == nil || machineType.FetchRate <= 0 {
		return 0
	}
	return seconds(im.sizeGB / machineType.FetchRate)
}

// fetchIsShort reports whether a fetch is so short compared to a task's run time that the
// image is fetched whenever there is room.
func fetchIsShort(fetch, runTime time.Duration) bool {
	return fetch < max(minShortFetchThreshold, time.Duration(shortFetchShare*float64(runTime)))
}

// worthFetching reports whether a machine without a job's image should fetch it. A short
// fetch, or one for an overdue job, is always worth it. A longer one occupies the resources
// of the tasks that wait for it, so it has to pay off: the expected wait for the image must be
// longer, by fetchPayoffFactor times the fetch time, than the longest expected wait for the
// images that the machine has already, which counts as 0 for an urgent job. It is never worth
// it while the machine makes a long fetch of another image: they would slow each other down.
func worthFetching(job *trackedJob, m *machine, machineType *protocol.MachineType, runTime time.Duration) bool {
	fetch := fetchTime(job.image, machineType)
	if fetchIsShort(fetch, runTime) || job.orderKey.Overdue {
		return true
	}
	if m.hasLongFetchOfAnother(job.image, machineType) {
		return false
	}
	ownWait := time.Duration(0)
	if job.priority < protocol.PriorityUrgent {
		for i := range m.images {
			ownWait = max(ownWait, m.images[i].expectedWait())
		}
	}
	return job.image.expectedWait() > ownWait+time.Duration(float64(fetch)*fetchPayoffFactor)
}

// hasLongFetchOfAnother reports whether a machine is fetching another image and the whole
// fetch takes longer than longFetchThreshold.
func (m *machine) hasLongFetchOfAnother(im *image, machineType *protocol.MachineType) bool {
	for i := range m.tasks {
		t := &m.tasks[i]
		if t.state == protocol.TaskFetching && t.job != nil && t.job.image != im && fetchTime(t.job.image, machineType) > longFetchThreshold {
			return true
		}
	}
	return false
}

// hasImage reports whether a machine has an image or is fetching it.
func (m *machine) hasImage(im *image) bool {
	for i := range m.images {
		if m.images[i].image == im {
			return true
		}
	}
	return false
}

// recordImageUse records that a machine has an image and uses it now, and removes the
// images that the machine evicts from its cache for it.
func (m *machine) recordImageUse(im *image, cacheGB float64, now time.Duration) {
	index := -1
	for i := range m.images {
		if m.images[i].image == im {
			index = i
		}
	}
	if index < 0 {
		m.images = append(m.images, cachedImage{image: im})
		index = len(m.images) - 1
		m.imagesChanged = true
	}
	m.images[index].lastUsed = now
	m.evictImages(im, cacheGB)
}

// evictImages removes the least recently used images, except one that is kept, until the
// rest fits into a cache of a size in GB. A size of 0 means no limit.
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

// imageStatuses lists the images that a machine has cached.
func (m *machine) imageStatuses() []*meshpb.CachedImage {
	out := make([]*meshpb.CachedImage, 0, len(m.images))
	for i := range m.images {
		out = append(out, &meshpb.CachedImage{Name: m.images[i].name, SizeGb: m.images[i].sizeGB})
	}
	return out
}
