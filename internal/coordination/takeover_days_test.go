package coordination

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"
)

// takeoverSeeds is how many days TestTakeoverDays plays; TAKEOVER_DAYS asks for
// more, for a long run by hand.
const takeoverSeeds = 48

// Leaders and owners change while the state service is slow, refuses some reads or
// one member, streams between members come up late, and members stand still. The
// rules are looked at ten times a second, and every list that is passed on. Each
// seed draws its own meetings; every fourth has members of the version before.
func TestTakeoverDays(t *testing.T) {
	seeds := takeoverSeeds
	if n, err := strconv.Atoi(os.Getenv("TAKEOVER_DAYS")); err == nil {
		seeds = n
	}
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			takeoverDay(t, seed)
		})
	}
}

func takeoverDay(t *testing.T, seed uint64) {
	t.Helper()
	names := []string{"a", "b", "c"}
	var before []string
	if seed%4 == 3 {
		before = names[:1+seed/4%3]
	}
	w := prepareWorld(t, "", before, names...)
	w.tune.QuotaEscrow = seed%3 == 1 && len(before) == 0
	w.startAll()
	d := &takeovers{day: newDayIn(t, w, seed, 8)}
	d.takesAll(time.Duration(10+d.rand.IntN(30)) * time.Second)
	d.play(70, func(s int) {
		if s < 40 && s%2 == 0 {
			d.submit(d.anyNode(), 1+d.rand.IntN(4), "crew", []string{"red", "blue"}[s/2%2])
		}
		if s%8 == 7 {
			d.submitService(d.anyNode(), 1, "crew", "blue")
		}
		if s%6 == 5 {
			d.cancelSome(1)
		}
		switch {
		case s < 6 || s >= 60:
		case s%9 == 0:
			d.lateTakeover()
		case s%9 < 3:
			d.trouble()
		}
	})
	d.state.hidden, d.state.slow = "", nil
	d.goOnAll()
	d.end()
}

// takeovers draws the troubles of one such day.
type takeovers struct{ *day }

// after has something happen between the two times from now on.
func (d *takeovers) after(least, most time.Duration, fn func()) {
	d.late = append(d.late, lateCall{d.now + least + time.Duration(d.rand.Int64N(int64(most-least)+1)), fn})
}

// lateTakeover ends the leader, all members or just a leadership, while the reads of
// whoever takes over are late and streams between members are cut.
func (d *takeovers) lateTakeover() {
	if d.rand.IntN(2) == 0 {
		d.hideListings()
	} else {
		d.slowState()
	}
	for range d.rand.IntN(3) {
		d.cutLink()
	}
	lead := d.leads()
	switch d.rand.IntN(4) {
	case 0:
		for _, name := range d.names {
			d.endFor(name)
		}
	case 1:
		if lead != nil {
			lead.core.session.resign("the day asks for it")
		}
	default:
		if lead != nil {
			d.endFor(lead.name)
		}
	}
}

// trouble begins one that is drawn, and has it end some seconds later.
func (d *takeovers) trouble() {
	switch d.rand.IntN(8) {
	case 0:
		d.endFor(d.names[d.rand.IntN(len(d.names))])
	case 1:
		if lead := d.leads(); lead != nil {
			d.endFor(lead.name)
		}
	case 2:
		for _, name := range d.names {
			d.endFor(name)
		}
	case 3:
		d.hideListings()
	case 4:
		d.slowState()
	case 5:
		d.refuse()
	case 6:
		d.cutLink()
	case 7:
		if d.rand.IntN(3) == 0 {
			if lead := d.leads(); lead != nil { // it keeps its ledgers
				lead.core.session.resign("the day asks for it")
			}
			return
		}
		d.freeze()
	}
}

// endFor ends a member, which is back some seconds later.
func (d *takeovers) endFor(name string) {
	if !d.nodes[name].up {
		return
	}
	d.nodes[name].still = false
	d.crash(name)
	d.after(200*time.Millisecond, 6*time.Second, d.restoreAll)
}

// hideListings has one member, or all, refused the listings of some records.
func (d *takeovers) hideListings() {
	d.state.hidden = []string{"own/", "own/", "fleet/", "done/"}[d.rand.IntN(4)]
	d.state.hiddenFrom = append([]string{""}, d.names...)[d.rand.IntN(4)]
	d.after(time.Second, 6*time.Second, func() { d.state.hidden, d.state.hiddenFrom = "", "" })
}

// slowState has answers come late, for one member or all.
func (d *takeovers) slowState() {
	most := time.Duration(1+d.rand.IntN(5)) * time.Second
	for_ := append([]string{""}, d.names...)[d.rand.IntN(4)]
	d.state.slow = func(to string) time.Duration {
		if for_ != "" && for_ != to {
			return 0
		}
		return time.Duration(d.rand.Int64N(int64(most)))
	}
	d.after(time.Second, 8*time.Second, func() { d.state.slow = nil })
}

// refuse has the state service refuse one member, or be away for all.
func (d *takeovers) refuse() {
	who := append([]string{""}, d.names...)[d.rand.IntN(4)]
	d.state.away[who] = true
	d.after(time.Second, 8*time.Second, func() { delete(d.state.away, who) })
}

func (d *takeovers) cutLink() {
	a := d.rand.IntN(len(d.names))
	d.cut(d.names[a], d.names[(a+1)%len(d.names)])
	d.after(500*time.Millisecond, 6*time.Second, d.restoreAll)
}

// freeze has a member stand still; the others take it for cut off after a while.
func (d *takeovers) freeze() {
	name := d.names[d.rand.IntN(len(d.names))]
	n := d.nodes[name]
	if !n.up || n.still {
		return
	}
	n.still = true
	core := n.core
	d.after(4*time.Second, 4*time.Second, func() {
		for _, o := range d.names {
			if l := d.nodes[o].links[name]; o != name && d.nodes[o].up && n.still && n.core == core && l != nil {
				d.nodes[o].core.LinkDown(l)
			}
		}
	})
	d.after(500*time.Millisecond, 9*time.Second, func() {
		if n.still && n.core == core {
			d.goOn(name)
			d.reconnectAll(name)
		}
	})
}

// reconnectAll ends a member's streams and begins new ones.
func (d *takeovers) reconnectAll(name string) {
	for _, o := range d.names {
		if o != name {
			d.cut(name, o)
		}
	}
	d.restoreAll()
}

// goOnAll has all members that stand still go on.
func (d *takeovers) goOnAll() {
	for _, name := range d.names {
		if d.nodes[name].still {
			d.goOn(name)
			d.reconnectAll(name)
		}
	}
}
