package coordination

import (
	"math"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

const (
	longFetch       = 10 * time.Second // a fetch that others should not slow down
	fetchPayoff     = 1.0              // how many times its length a fetch must save
	shortFetchShare = 0.1              // of a task's run time, what a fetch may always take
)

// image is one that tasks need, with the work that waits for it set against
// the machines that have it.
type image struct {
	name   string
	sizeGB float64

	hasPending                              bool        // work waits for it
	cpus, memory                            float64     // of the machines that have it
	pendingCPUSeconds, pendingMemorySeconds float64     // CPU and memory seconds that wait for it
	spotFree                                resources   // free on spot machines that have it
	urgentCPUs                              float64     // CPUs of urgent tasks that lack room, see shortage
	standardCPUs                            float64     // the same of standard tasks, where idle-time work runs
	standardJob                             *trackedJob // the first of these
}

// cachedImage is an image that a machine has, or is fetching.
type cachedImage struct {
	*image
	lastUsed time.Duration
}

// imageTable holds the images that jobs or machines name. What waits for them
// is worked out anew with the order of service.
type imageTable struct {
	byName map[string]*image
}

// get returns the image of a name.
func (t *imageTable) get(name string, gb float64) *image {
	im := t.byName[name]
	if im == nil {
		if t.byName == nil {
			t.byName = make(map[string]*image)
		}
		im = &image{name: name}
		t.byName[name] = im
	}
	im.sizeGB = math.Max(im.sizeGB, gb)
	return im
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

// useImage notes that a machine has an image, and which it will have dropped
// for it: the least recently used go first.
func (m *machine) useImage(im *image, cacheGB float64, now time.Duration) {
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
	for len(m.images) > 1 && cacheGB > 0 {
		sum, oldest := 0.0, -1
		for i, c := range m.images {
			sum += c.sizeGB
			if c.image != im && (oldest < 0 || c.lastUsed < m.images[oldest].lastUsed) {
				oldest = i
			}
		}
		if sum <= cacheGB {
			return
		}
		m.images = append(m.images[:oldest], m.images[oldest+1:]...)
	}
}

// inheritImages takes what the last leader knew to be cached on a machine.
func (l *leader) inheritImages(m *machine) {
	machineType := l.c.cloud.Type(m.typeName)
	if machineType == nil {
		return
	}
	for _, im := range l.c.owner.ImagesOf(m.name) {
		m.useImage(l.images.get(im.Name, im.SizeGb), machineType.CacheGB, l.electedAt)
	}
}

// updateImageDemand sets the work that waits for each image against the machines
// that have it.
func (l *leader) updateImageDemand(now time.Duration) {
	for _, im := range l.images.byName {
		*im = image{name: im.name, sizeGB: im.sizeGB, urgentCPUs: im.urgentCPUs, standardCPUs: im.standardCPUs, standardJob: im.standardJob}
	}
	for _, shard := range l.shards.byName {
		for _, job := range shard.jobs {
			n := float64(job.unoffered())
			if n == 0 || job.image == nil {
				continue
			}
			job.image.hasPending = true
			run := l.runTime(job.spec).Seconds()
			job.image.pendingCPUSeconds += n * run * job.spec.Cpus
			job.image.pendingMemorySeconds += n * run * job.spec.MemoryGb
		}
	}
	for m := range l.machines.all {
		machineType := l.c.cloud.Type(m.typeName)
		if machineType == nil || len(m.images) == 0 || !l.schedulable(m, now) {
			continue
		}
		m.wantedImages = 0
		for i := range m.images {
			if m.images[i].hasPending {
				m.wantedImages++
			}
		}
		for i := range m.images {
			im := m.images[i].image
			if im.hasPending {
				im.cpus += machineType.CPUs / float64(m.wantedImages)
				im.memory += machineType.MemoryGB / float64(m.wantedImages)
			}
			if m.spot {
				im.spotFree.cpus += m.free.cpus
				im.spotFree.gpus += m.free.gpus
				im.spotFree.memory += m.free.memory
			}
		}
	}
}

// removeUnusedImages drops the images that no unfinished job and no machine names.
func (l *leader) removeUnusedImages() {
	named := make(map[*image]bool, len(l.images.byName))
	for _, shard := range l.shards.byName {
		for _, job := range shard.jobs {
			named[job.image] = true
		}
	}
	for m := range l.machines.all {
		for i := range m.images {
			named[m.images[i].image] = true
		}
	}
	for name, im := range l.images.byName {
		if !named[im] {
			delete(l.images.byName, name)
		}
	}
}

// fetchTime is how long a machine takes to fetch an image.
func fetchTime(im *image, typ *protocol.MachineType) time.Duration {
	if im == nil || typ == nil || typ.FetchRate <= 0 {
		return 0
	}
	return seconds(im.sizeGB / typ.FetchRate)
}

// expectedWait is how long the tasks that wait for an image will wait, at the
// present rate, for the machines that have it.
func (im *image) expectedWait() time.Duration {
	if im == nil || im.pendingCPUSeconds+im.pendingMemorySeconds == 0 {
		return 0
	}
	if im.cpus == 0 || im.memory == 0 {
		return time.Hour
	}
	return seconds(math.Min(3600, math.Max(im.pendingCPUSeconds/im.cpus, im.pendingMemorySeconds/im.memory)))
}

// worthFetching tells whether a machine without a job's image should fetch
// it. A fetch holds the room of the tasks that wait for it, so it has to pay:
// the job's tasks must face a wait that is longer, by a good part of the
// fetch, than that of the work whose images the machine has already. Two
// fetches at once would only slow each other down. One that is short against
// the run is made whenever there is room.
func (l *leader) worthFetching(job *trackedJob, m *machine) bool {
	machineType := l.c.cloud.Type(m.typeName)
	fetch := fetchTime(job.image, machineType)
	if l.fetchIsShort(job, fetch) || job.orderKey.overdue {
		return true
	}
	for i := range m.tasks {
		t := &m.tasks[i]
		if t.state == protocol.TaskFetching && t.job != nil && t.job.image != job.image && fetchTime(t.job.image, machineType) > longFetch {
			return false
		}
	}
	own := time.Duration(0)
	if job.priority < protocol.PriorityUrgent {
		for i := range m.images {
			own = max(own, m.images[i].expectedWait())
		}
	}
	return job.image.expectedWait() > own+time.Duration(float64(fetch)*fetchPayoff)
}

func (l *leader) fetchIsShort(j *trackedJob, fetch time.Duration) bool {
	return fetch < max(time.Second, time.Duration(shortFetchShare*float64(l.runTime(j.spec))))
}

// imageStatuses lists what a machine has cached.
func (m *machine) imageStatuses() []*meshpb.CachedImage {
	out := make([]*meshpb.CachedImage, 0, len(m.images))
	for i := range m.images {
		out = append(out, &meshpb.CachedImage{Name: m.images[i].name, SizeGb: m.images[i].sizeGB})
	}
	return out
}
