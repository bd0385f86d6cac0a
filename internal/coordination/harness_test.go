package coordination

import (
	"testing"

	"github.com/rs/zerolog"

	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
	"github.com/cobaltvale/cobaltvale/internal/simtest"
)

// simulation is a deployment of this package's controllers.
type simulation struct{ *simtest.Deployment }

// newSimulation starts a deployment of the named members.
func newSimulation(t testing.TB, names ...string) *simulation {
	t.Helper()
	return newUpgradeSimulation(t, "", nil, names...)
}

// newUpgradeSimulation starts a deployment whose settings announce the next limits of the
// state service, and some of whose members run the previous version.
func newUpgradeSimulation(t testing.TB, nextLimits string, previousVersion []string, names ...string) *simulation {
	t.Helper()
	sim := prepareSimulation(t, nextLimits, previousVersion, names...)
	sim.StartAll()
	return sim
}

// prepareSimulation returns a simulation in which no process has started.
func prepareSimulation(t testing.TB, nextLimits string, previousVersion []string, names ...string) *simulation {
	t.Helper()
	sim := &simulation{}
	sim.Deployment = simtest.NewDeployment(t, simtest.Options{Members: names, PreviousVersion: previousVersion, NextLimits: nextLimits,
		TickInterval: tickInterval, NewProcess: newProcess, OnFrame: sim.checkFrame})
	return sim
}

// process implements simtest.Process with a controller.
type process struct{ *Controller }

func newProcess(config simtest.ProcessConfig) (simtest.Process, error) {
	controller, err := New(config.Settings, config.Tuning, Env{Clock: config.Clock, Wall: config.Wall, Rand: config.Rand,
		State: config.State, Cloud: config.Cloud, Log: zerolog.Nop(), Audit: config.Audit}, config.ID)
	if err != nil {
		return nil, err
	}
	if config.PreviousVersion {
		controller.identity.RecordFormat = 0 // the previous version's keys name no record format
		controller.election = newElection(controller)
	}
	return process{controller}, nil
}

// controllerOf returns the controller that a node's current process runs.
func controllerOf(n *simtest.Node) *Controller { return n.Process.(process).Controller }

func (p process) HandleHTTP(req *simtest.HTTPRequest, reply func(simtest.HTTPResponse)) {
	p.Controller.HandleHTTP((*Request)(req), func(r Response) { reply(simtest.HTTPResponse(r)) })
}

func (p process) LinkUp(l *simtest.Stream, member string)      { p.Controller.LinkUp(l, member) }
func (p process) LinkDown(l *simtest.Stream)                   { p.Controller.LinkDown(l) }
func (p process) LinkFrame(l *simtest.Stream, f *meshpb.Frame) { p.Controller.LinkFrame(l, f) }
func (p process) RunLater(fn func())                           { p.runLater(fn) }
func (p process) Leads() bool                                  { return p.leader != nil }
func (p process) MayAct() bool                                 { return p.election.MayAct(p.now()) }

// checkFrame checks a frame that a controller sends, and returns it as it arrives. A frame
// to or from a member that runs the previous version is reduced to what that version knows.
func (sim *simulation) checkFrame(from, to *simtest.Node, f *meshpb.Frame) *meshpb.Frame {
	if sim.PreviousVersion[from.Name] {
		f = withoutUnknownTasks(controllerOf(from), to.Name, f)
	} else {
		sim.checkStatusesComplete(controllerOf(from), to, f)
	}
	if sim.PreviousVersion[to.Name] || sim.PreviousVersion[from.Name] {
		f = previousSchema.filter(sim.T, f)
	}
	return f
}
