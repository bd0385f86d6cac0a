package coordination

import (
	"math"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

const (
	bigFetch  = 10 * time.Second // a fetch that others should not slow down
	fetchPays = 1.0              // how many times its length a fetch must save
	fetchLow  = 0.1              // of a task's run time, what a fetch may always take
)

// image is one that tasks need, with the work that waits for it set against
// the machines that have it.
type image struct {
	name string
	gb   float64

	waits                bool       // work waits for it
	cpus, memory         float64    // of the machines that have it
	needCPUs, needMemory float64    // CPU and memory seconds that wait for it
	spare                room       // free on spot machines that have it
	urgent               float64    // CPUs of urgent tasks that lack room, see shortage
	idle                 float64    // the same of standard tasks, where idle-time work runs
	idleFor              *leaderJob // the first of these
}

// cachedImage is an image that a machine has, or is fetching.
type cachedImage struct {
	*image
	used time.Duration
}

// imageTable holds the images that jobs or machines name. What waits for them
// is worked out anew with the order of service.
type imageTable struct {
	byName map[string]*image
}

// of returns the image of a name.
func (t *imageTable) of(name string, gb float64) *image {
	im := t.byName[name]
	if im == nil {
		if t.byName == nil {
			t.byName = make(map[string]*image)
		}
		im = &image{name: name}
		t.byName[name] = im
	}
	im.gb = math.Max(im.gb, gb)
	return im
}

// has tells whether a machine has an image, or is fetching it.
func (m *machine) has(im *image) bool {
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
		m.cachedAnew = true
	}
	m.images[at].used = now
	for len(m.images) > 1 && cacheGB > 0 {
		sum, oldest := 0.0, -1
		for i, c := range m.images {
			sum += c.gb
			if c.image != im && (oldest < 0 || c.used < m.images[oldest].used) {
				oldest = i
			}
		}
		if sum <= cacheGB {
			return
		}
		m.images = append(m.images[:oldest], m.images[oldest+1:]...)
	}
}

// inherit takes what the last leader knew to be cached on a machine.
func (l *leader) inherit(m *machine) {
	typ := l.c.fleet.types[m.typ]
	if typ == nil {
		return
	}
	for _, im := range l.c.subscription.imagesOf(m.name) {
		m.useImage(l.images.of(im.Name, im.SizeGb), typ.CacheGB, l.since)
	}
}

// weighImages sets the work that waits for each image against the machines
// that have it.
func (l *leader) weighImages(now time.Duration) {
	for _, im := range l.images.byName {
		*im = image{name: im.name, gb: im.gb, urgent: im.urgent, idle: im.idle, idleFor: im.idleFor}
	}
	for _, g := range l.ledgers {
		for _, j := range g.jobs {
			n := float64(j.unserved())
			if n == 0 || j.image == nil {
				continue
			}
			j.image.waits = true
			run := l.runTime(j.spec).Seconds()
			j.image.needCPUs += n * run * j.spec.Cpus
			j.image.needMemory += n * run * j.spec.MemoryGb
		}
	}
	for m := range l.machines.all {
		typ := l.c.fleet.types[m.typ]
		if typ == nil || len(m.images) == 0 || !l.usable(m, now) {
			continue
		}
		m.wanted = 0
		for i := range m.images {
			if m.images[i].waits {
				m.wanted++
			}
		}
		for i := range m.images {
			im := m.images[i].image
			if im.waits {
				im.cpus += typ.CPUs / float64(m.wanted)
				im.memory += typ.MemoryGB / float64(m.wanted)
			}
			if m.spot {
				im.spare.cpus += m.free.cpus
				im.spare.gpus += m.free.gpus
				im.spare.memory += m.free.memory
			}
		}
	}
}

// forgetImages drops the images that no unfinished job and no machine names.
func (l *leader) forgetImages() {
	named := make(map[*image]bool, len(l.images.byName))
	for _, g := range l.ledgers {
		for _, j := range g.jobs {
			named[j.image] = true
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
	return seconds(im.gb / typ.FetchRate)
}

// wait is how long the tasks that wait for an image will wait, at the
// present rate, for the machines that have it.
func (im *image) wait() time.Duration {
	if im == nil || im.needCPUs+im.needMemory == 0 {
		return 0
	}
	if im.cpus == 0 || im.memory == 0 {
		return time.Hour
	}
	return seconds(math.Min(3600, math.Max(im.needCPUs/im.cpus, im.needMemory/im.memory)))
}

// worthFetching tells whether a machine without a job's image should fetch
// it. A fetch holds the room of the tasks that wait for it, so it has to pay:
// the job's tasks must face a wait that is longer, by a good part of the
// fetch, than that of the work whose images the machine has already. Two
// fetches at once would only slow each other down. One that is short against
// the run is made whenever there is room.
func (l *leader) worthFetching(j *leaderJob, m *machine) bool {
	typ := l.c.fleet.types[m.typ]
	fetch := fetchTime(j.image, typ)
	if l.fetchIsLow(j, fetch) || j.rank.overdue {
		return true
	}
	for i := range m.tasks {
		t := &m.tasks[i]
		if t.state == protocol.TaskFetching && t.job != nil && t.job.image != j.image && fetchTime(t.job.image, typ) > bigFetch {
			return false
		}
	}
	own := time.Duration(0)
	if j.prio < protocol.PriorityUrgent {
		for i := range m.images {
			own = max(own, m.images[i].wait())
		}
	}
	return j.image.wait() > own+time.Duration(float64(fetch)*fetchPays)
}

func (l *leader) fetchIsLow(j *leaderJob, fetch time.Duration) bool {
	return fetch < max(time.Second, time.Duration(fetchLow*float64(l.runTime(j.spec))))
}

// imagesToTell lists what a machine has cached.
func (m *machine) imagesToTell() []*meshpb.CachedImage {
	out := make([]*meshpb.CachedImage, 0, len(m.images))
	for i := range m.images {
		out = append(out, &meshpb.CachedImage{Name: m.images[i].name, SizeGb: m.images[i].gb})
	}
	return out
}
