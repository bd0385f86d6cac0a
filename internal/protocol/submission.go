package protocol

import (
	"errors"
)

// Wire words of the forms of a job.
const (
	kindBatch   = "batch"
	kindService = "service"
)

// Submission is a job as its user describes it. Pointers tell a missing
// field from a zero one.
type Submission struct {
	ID                  *string  `cbor:"nameId"`
	Class               *string  `cbor:"desk"`
	Team                *string  `cbor:"crew"`
	Kind                *string  `cbor:"form"`
	Priority            *string  `cbor:"urgency"`
	Tasks               *uint64  `cbor:"pages"`
	CPUs                *float64 `cbor:"vcpus"`
	GPUs                *float64 `cbor:"cards"`
	MemoryGB            *float64 `cbor:"ramGb"`
	Image               *string  `cbor:"plate"`
	ImageGB             *float64 `cbor:"imageGb"`
	Types               []string `cbor:"breeds"`
	Zone                *string  `cbor:"hall"`
	SingleZone          *bool    `cbor:"together"`
	SpreadZones         *bool    `cbor:"apart"`
	Spot                *bool    `cbor:"loaners"`
	EstimateS           *float64 `cbor:"expectedS"`
	CheckpointIntervalS *float64 `cbor:"proofEveryS"`
	CheckpointDurationS *float64 `cbor:"proofS"`
	DeadlineS           *float64 `cbor:"pressByS"`
}

// Validate turns a submission into a Job or says what is malformed in it.
func (s *Submission) Validate() (*Job, error) {
	if s.ID == nil || !ValidJobID(*s.ID) {
		return nil, errors.New("nameId is missing or not of the form wk-000412")
	}
	if s.Kind == nil || (*s.Kind != kindBatch && *s.Kind != kindService) {
		return nil, errors.New("form is missing or unknown")
	}
	if s.Priority == nil {
		return nil, errors.New("urgency is missing")
	}
	prio, ok := parsePriority(*s.Priority)
	if !ok {
		return nil, errors.New("urgency is unknown")
	}
	if s.Tasks == nil || *s.Tasks == 0 || *s.Tasks > MaxTasks {
		return nil, errors.New("pages is missing or out of range")
	}
	if s.SingleZone == nil || s.SpreadZones == nil || s.Spot == nil {
		return nil, errors.New("together, apart or loaners is missing")
	}
	if s.Zone != nil && (*s.Zone == "" || len(*s.Zone) > maxNameLength) {
		return nil, errors.New("hall has a bad length")
	}
	if len(s.Types) > 100 {
		return nil, errors.New("breeds is too long")
	}
	for _, t := range s.Types {
		if t == "" || len(t) > maxNameLength {
			return nil, errors.New("breeds holds a bad name")
		}
	}
	if s.DeadlineS != nil {
		if err := checkAmount("pressByS", s.DeadlineS, 0); err != nil {
			return nil, err
		}
	}
	if err := errors.Join(
		checkLabel("desk", s.Class), checkLabel("crew", s.Team), checkLabel("plate", s.Image),
		checkAmount("vcpus", s.CPUs, 0), checkAmount("cards", s.GPUs, 0), checkAmount("ramGb", s.MemoryGB, 0),
		checkAmount("imageGb", s.ImageGB, 0), checkAmount("expectedS", s.EstimateS, 0),
		checkAmount("proofEveryS", s.CheckpointIntervalS, 0), checkAmount("proofS", s.CheckpointDurationS, 0),
	); err != nil {
		return nil, err
	}
	j := &Job{
		ID: *s.ID, Class: *s.Class, Team: *s.Team, Priority: prio, Tasks: int(*s.Tasks),
		CPUs: *s.CPUs, GPUs: *s.GPUs, MemoryGB: *s.MemoryGB, Image: *s.Image, ImageGB: *s.ImageGB,
		Types: s.Types, AnyType: s.Types == nil, SingleZone: *s.SingleZone, SpreadZones: *s.SpreadZones, Spot: *s.Spot,
		EstimateS: *s.EstimateS, CheckpointIntervalS: *s.CheckpointIntervalS, CheckpointDurationS: *s.CheckpointDurationS, Service: *s.Kind == kindService,
	}
	if j.Service && j.EstimateS != 0 {
		return nil, errors.New("expectedS of a service is not 0")
	}
	if s.Zone != nil {
		j.Zone = *s.Zone
	}
	if s.DeadlineS != nil && !j.Service {
		j.DeadlineS, j.HasDeadline = *s.DeadlineS, true
	}
	return j, nil
}
