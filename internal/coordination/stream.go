package coordination

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

// joinChunk is how many jobs go into one frame.
const joinChunk = 200

// stream is the owner's end of the leader's ordered stream: what this process
// may conclude from it. It lasts as long as its link and its leader's token;
// a new one starts every clock anew.
type stream struct {
	c     *Core
	from  *peer
	token uint64
	heard map[int32]*streamMachine
	start map[string]int64 // per ledger, on the leader's clock
}

type streamMachine struct {
	zone string
	at   int64 // on the leader's clock, of the last report on this stream
	// images are what the leader last knew to be cached there.
	images []*meshpb.Image
}

func (s *stream) reset() {
	s.from, s.token = nil, 0
	s.start = make(map[string]int64)
	if s.heard == nil {
		s.heard = make(map[int32]*streamMachine)
	}
	for _, m := range s.heard {
		m.at = 0
	}
	if s.c == nil {
		return
	}
	for _, l := range s.c.owner.ledgers {
		l.joined = false
	}
}

func (s *stream) zoneOf(m int32) string {
	if h := s.heard[m]; h != nil {
		return h.zone
	}
	return ""
}

// joinedAll tells whether the leader has confirmed every ledger of this
// process that is ready.
func (s *stream) joinedAll() bool {
	for _, l := range s.c.owner.ledgers {
		if l.ready && (!l.joined || s.start[l.name] <= 0) {
			return false
		}
	}
	return s.from != nil
}

// imagesOf is what the last leader knew to be cached on a machine.
func (s *stream) imagesOf(name string) []*meshpb.Image {
	if i, ok := s.c.owner.machines.byName[name]; ok {
		if h := s.heard[i]; h != nil {
			return h.images
		}
	}
	return nil
}

// join offers this process's ledgers to the member that leads now.
func (s *stream) join() {
	c := s.c
	k := &c.session.leaderK
	var to *peer
	if k.present {
		to = c.peers[k.holder.Member]
		if k.holder.Member == c.cfg.Member {
			to = nil
			if c.leader != nil {
				to = c.self
			}
		}
	}
	if to == nil || to.link == nil {
		if s.from != nil {
			s.reset()
		}
		return
	}
	if s.from != to || s.token != k.stamp {
		s.reset()
		s.from, s.token = to, k.stamp
	}
	for _, l := range c.owner.ledgers {
		if l.ready && !l.joined && s.start[l.name] == 0 {
			s.joinLedger(l)
		}
	}
}

func (s *stream) joinLedger(l *ownedLedger) {
	s.start[l.name] = -1 // asked for
	jobs := make([]*meshpb.JobDemand, 0, len(l.jobs))
	for _, j := range l.jobs {
		jobs = append(jobs, j.demand(true))
		j.fresh = false
	}
	l.joined = true
	for {
		n := min(len(jobs), joinChunk)
		s.from.link.Send(&meshpb.Frame{Body: &meshpb.Frame_Join{Join: &meshpb.Join{
			Ledger: l.name, Stamp: l.book.Stamp(), Token: s.token, Jobs: jobs[:n], More: n < len(jobs)}}})
		jobs = jobs[n:]
		if len(jobs) == 0 {
			return
		}
	}
}

func (s *stream) onJoined(p *peer, j *meshpb.Joined) {
	if p == s.from && j.Token == s.token && s.start[j.Ledger] != 0 {
		s.start[j.Ledger] = j.ClockUs
	}
}

// onReport takes what the leader passes on of a machine.
func (s *stream) onReport(p *peer, r *meshpb.Report) {
	if p != s.from {
		return
	}
	m := s.c.owner.machines.index(r.Machine)
	h := s.heard[m]
	if h == nil {
		h = &streamMachine{}
		s.heard[m] = h
	}
	h.zone, h.at, h.images = r.Zone, r.ClockUs, r.Images
	var orders []*meshpb.Order
	s.c.owner.reported(m, r, &orders)
	if len(orders) > 0 {
		p.link.Send(&meshpb.Frame{Body: &meshpb.Frame_Orders{Orders: &meshpb.Orders{Orders: orders}}})
	}
}

// onBeat judges losses: a beat tells that every report which the leader
// answered before it has been passed on already. A machine whose last report
// on this stream lies more than a lease before it has lost its lease.
func (s *stream) onBeat(p *peer, b *meshpb.Beat) {
	if p != s.from || b.Token != s.token {
		return
	}
	for _, l := range s.c.owner.ledgers {
		if l.ready && (!l.joined || s.start[l.name] <= 0) {
			// The leader had not yet heard of its own election when the
			// first Join came, or this one crosses its answer: joining
			// twice only starts the clock later.
			s.joinLedger(l)
		}
	}
	span := s.c.leaseSpan().Microseconds()
	for m, refs := range s.c.owner.held {
		last := int64(0)
		if h := s.heard[m]; h != nil {
			last = h.at
		}
		var gone []taskRef
		for _, r := range refs {
			start := s.start[r.job.ledger.name]
			if start > 0 && b.ClockUs-max(last, start) > span {
				gone = append(gone, r)
			}
		}
		for _, r := range gone {
			s.c.owner.lost(r.job, r.task)
		}
		if len(gone) > 0 {
			s.c.log.Info().Str("machine", s.c.owner.machines.names[m]).Int("tasks", len(gone)).Msg("machine lost, its lease is over")
		}
	}
}

func (s *stream) onGone(p *peer, g *meshpb.Gone) {
	if p == s.from {
		m := s.c.owner.machines.index(g.Machine)
		s.c.owner.machineGone(m)
		delete(s.heard, m)
		s.c.owner.machines.release(g.Machine)
	}
}

func (s *stream) onSettled(p *peer, st *meshpb.Settled) {
	if p != s.from || st.Token != s.token || s.start[st.Ledger] <= 0 {
		return
	}
	if l := s.c.owner.ledgers[st.Ledger]; l != nil {
		s.c.owner.settled(l)
	}
}

func (s *stream) onUnplaced(p *peer, u *meshpb.Unplaced) {
	if p == s.from {
		s.c.owner.putBack(u.Picks)
	}
}

// onOffer answers with the tasks that go to the machine. An owner that may
// not act gives nothing away.
func (s *stream) onOffer(p *peer, f *meshpb.Offer) {
	if p != s.from {
		return
	}
	c := s.c
	picks := &meshpb.Picks{Id: f.Id}
	may := c.session.mayAct(c.now())
	m := c.owner.machines.index(f.Machine)
	if s.heard[m] == nil {
		s.heard[m] = &streamMachine{zone: f.Zone}
	}
	for _, it := range f.Items {
		j := c.owner.jobs[it.Job]
		if j == nil || !may {
			continue
		}
		picks.Picks = append(picks.Picks, c.owner.pick(j, int(it.Count), m, f.Zone, f.Session, f.Seq)...)
		picks.Jobs = append(picks.Jobs, j.demand(false))
	}
	p.link.Send(&meshpb.Frame{Body: &meshpb.Frame_Picks{Picks: picks}})
}

// silenceAfter is how long a machine may say nothing before it gets no more
// offers.
func (c *Core) silenceAfter() time.Duration {
	return seconds(c.cfg.Settings.Workers.ReportS * c.tune.SilenceReports)
}
