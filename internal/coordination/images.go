package coordination

import (
	"math"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

const (
	imagesEvery = 300 * time.Millisecond
	bigFetch    = 10 * time.Second // a fetch that others should not slow down
	fetchPays   = 1.0              // how many times its length a fetch must save
)

// cachedImage is an image that a machine has, or is fetching.
type cachedImage struct {
	gb   float64
	used time.Duration
}

// imageLoad sets the work that waits for an image against the machines that
// have it.
type imageLoad struct {
	cpus, memory         float64 // of the machines that have the image
	needCPUs, needMemory float64 // CPU and memory seconds that wait for it
}

// imageTable is worked out a few times a second.
type imageTable struct {
	at   time.Duration
	load map[string]*imageLoad
}

// useImage notes that a machine has an image, and which it will have dropped
// for it: the least recently used go first.
func (m *machine) useImage(name string, gb, cacheGB float64, now time.Duration) {
	if m.images == nil {
		m.images = make(map[string]*cachedImage)
	}
	im := m.images[name]
	if im == nil {
		im = &cachedImage{gb: gb}
		m.images[name] = im
	}
	im.used = now
	for len(m.images) > 1 {
		sum, oldest := 0.0, ""
		for n, c := range m.images {
			sum += c.gb
			if n != name && (oldest == "" || c.used < m.images[oldest].used) {
				oldest = n
			}
		}
		if sum <= cacheGB || cacheGB <= 0 {
			return
		}
		delete(m.images, oldest)
	}
}

// refreshImages works the table out anew if it is old.
func (l *leader) refreshImages(now time.Duration) {
	t := &l.images
	if t.load != nil && now-t.at < imagesEvery {
		return
	}
	t.at, t.load = now, make(map[string]*imageLoad)
	for _, j := range l.jobs {
		n := float64(j.waiting - j.offered)
		if j.closed || n <= 0 || j.spec.Image == "" {
			continue
		}
		e := t.load[j.spec.Image]
		if e == nil {
			e = &imageLoad{}
			t.load[j.spec.Image] = e
		}
		run := l.runTime(j.spec).Seconds()
		e.needCPUs += n * run * j.spec.Cpus
		e.needMemory += n * run * j.spec.MemoryGb
	}
	for _, m := range l.machines {
		typ := l.c.fleet.types[m.typ]
		if typ == nil || !l.usable(m, now) {
			continue
		}
		wanted := 0.0
		for name := range m.images {
			if t.load[name] != nil {
				wanted++
			}
		}
		for name := range m.images {
			if e := t.load[name]; e != nil {
				e.cpus += typ.CPUs / wanted
				e.memory += typ.MemoryGB / wanted
			}
		}
	}
}

// fetchTime is how long a machine takes to fetch a job's image.
func fetchTime(s *meshpb.JobDemand, typ *protocol.MachineType) time.Duration {
	if typ == nil || typ.FetchRate <= 0 {
		return 0
	}
	return seconds(s.ImageGb / typ.FetchRate)
}

// wait is how long the tasks that wait for an image will wait, at the
// present rate, for the machines that have it.
func (t *imageTable) wait(image string) time.Duration {
	e := t.load[image]
	if e == nil || e.needCPUs+e.needMemory == 0 {
		return 0
	}
	if e.cpus == 0 || e.memory == 0 {
		return time.Hour
	}
	return seconds(math.Min(3600, math.Max(e.needCPUs/e.cpus, e.needMemory/e.memory)))
}

// worthFetching tells whether a machine without a job's image should fetch
// it. A fetch holds the room of the tasks that wait for it, so it has to pay:
// the job's tasks must face a wait that is longer, by a good part of the
// fetch, than that of the work whose images the machine has already. Two
// fetches at once would only slow each other down.
func (l *leader) worthFetching(j *leaderJob, m *machine) bool {
	fetch := fetchTime(j.spec, l.c.fleet.types[m.typ])
	if fetch < time.Second {
		return true
	}
	for i := range m.tasks {
		t := &m.tasks[i]
		if t.state == protocol.TaskFetching && t.job != nil && t.job.spec != nil && t.job.spec.Image != j.spec.Image &&
			fetchTime(t.job.spec, l.c.fleet.types[m.typ]) > bigFetch {
			return false
		}
	}
	own := time.Duration(0)
	if j.prio < protocol.PriorityHigh {
		for name := range m.images {
			own = max(own, l.images.wait(name))
		}
	}
	return l.images.wait(j.spec.Image) > own+time.Duration(float64(fetch)*fetchPays)
}
