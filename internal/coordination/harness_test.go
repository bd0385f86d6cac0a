package coordination

import (
	"testing"

	"github.com/rs/zerolog"

	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
	"github.com/cobaltvale/cobaltvale/internal/simtest"
)

// simulation is a deployment of this package's controllers.
type simulation struct{ *simtest.Deployment }

// newSimulation starts a deployment of some members.
func newSimulation(t testing.TB, names ...string) *simulation {
	t.Helper()
	return newUpgradeSimulation(t, "", nil, names...)
}

// newUpgradeSimulation has limits that the state service will have later, and members that
// run the version before.
func newUpgradeSimulation(t testing.TB, next string, before []string, names ...string) *simulation {
	t.Helper()
	sim := prepareSimulation(t, next, before, names...)
	sim.StartAll()
	return sim
}

// prepareSimulation makes a simulation none of whose processes has started.
func prepareSimulation(t testing.TB, next string, before []string, names ...string) *simulation {
	t.Helper()
	sim := &simulation{}
	sim.Deployment = simtest.NewDeployment(t, simtest.Options{Members: names, PreviousVersion: before, NextLimits: next,
		TickInterval: tickInterval, NewProcess: newProcess, OnFrame: sim.checkFrame})
	return sim
}

// process has the deployment drive a controller.
type process struct{ *Controller }

func newProcess(config simtest.ProcessConfig) (simtest.Process, error) {
	controller, err := New(config.Settings, config.Tuning, Env{Clock: config.Clock, Wall: config.Wall, Rand: config.Rand,
		State: config.State, Cloud: config.Cloud, Log: zerolog.Nop(), Audit: config.Audit}, config.ID)
	if err != nil {
		return nil, err
	}
	if config.PreviousVersion {
		controller.identity.RecordFormat = 0 // its own key says what that version's does
		controller.election = newElection(controller)
	}
	return process{controller}, nil
}

// controllerOf is the controller that a node's present process runs.
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

// checkFrame checks what a controller sends. To and from a member of the version before
// only what that version knows gets through.
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
