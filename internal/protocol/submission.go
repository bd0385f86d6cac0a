package protocol

import "errors"

// The kinds of a job, as encoded in Submission.Kind.
const (
	kindBatch   = "batch"
	kindService = "service"
)

// maxTypes is the maximum number of machine types in a submission.
const maxTypes = 100

// Submission is a user's request to run a job that has not been validated. Pointer fields
// distinguish a missing field from a zero value. Fields whose names end in S are in seconds.
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

// Validate checks the submission and returns the job that it describes. Its error is a
// *FieldError, or several of them joined.
func (s *Submission) Validate() (*Job, error) {
	priority, err := s.checkIdentity()
	if err != nil {
		return nil, err
	}
	if err := s.checkPlacement(); err != nil {
		return nil, err
	}
	if err := s.checkAmounts(); err != nil {
		return nil, err
	}
	job := &Job{
		ID: *s.ID, Class: *s.Class, Team: *s.Team, Priority: priority, Tasks: int(*s.Tasks),
		CPUs: *s.CPUs, GPUs: *s.GPUs, MemoryGB: *s.MemoryGB, Image: *s.Image, ImageGB: *s.ImageGB,
		Types: s.Types, AnyType: s.Types == nil, SingleZone: *s.SingleZone, SpreadZones: *s.SpreadZones, Spot: *s.Spot,
		EstimateS: *s.EstimateS, CheckpointIntervalS: *s.CheckpointIntervalS, CheckpointDurationS: *s.CheckpointDurationS,
		Service: *s.Kind == kindService,
	}
	if job.Service && job.EstimateS != 0 {
		return nil, fieldError("expectedS", "of a service is not 0")
	}
	if s.Zone != nil {
		job.Zone = *s.Zone
	}
	if s.DeadlineS != nil && !job.Service {
		job.DeadlineS, job.HasDeadline = *s.DeadlineS, true
	}
	return job, nil
}

// checkIdentity checks the job's ID, kind, priority and number of tasks. It returns the priority.
func (s *Submission) checkIdentity() (Priority, error) {
	if s.ID == nil || !ValidJobID(*s.ID) {
		return 0, fieldError("nameId", "is missing or not of the form wk-000412")
	}
	if s.Kind == nil || (*s.Kind != kindBatch && *s.Kind != kindService) {
		return 0, fieldError("form", "is missing or unknown")
	}
	if s.Priority == nil {
		return 0, fieldError("urgency", "is missing")
	}
	priority, ok := parsePriority(*s.Priority)
	if !ok {
		return 0, fieldError("urgency", "is unknown")
	}
	if s.Tasks == nil || *s.Tasks == 0 || *s.Tasks > MaxTasks {
		return 0, fieldError("pages", "is missing or out of range")
	}
	return priority, nil
}

// checkPlacement checks the constraints on where the tasks may run.
func (s *Submission) checkPlacement() error {
	for _, field := range []struct {
		path  string
		value *bool
	}{{"together", s.SingleZone}, {"apart", s.SpreadZones}, {"loaners", s.Spot}} {
		if field.value == nil {
			return &FieldError{Path: field.path, Text: "together, apart or loaners is missing"}
		}
	}
	if s.Zone != nil && !validNameLength(*s.Zone) {
		return fieldError("hall", "has a bad length")
	}
	if len(s.Types) > maxTypes {
		return fieldError("breeds", "is too long")
	}
	for _, name := range s.Types {
		if !validNameLength(name) {
			return fieldError("breeds", "holds a bad name")
		}
	}
	return nil
}

// checkAmounts checks the remaining names, resource amounts and durations. An invalid deadline is
// reported alone; otherwise all invalid fields are reported.
func (s *Submission) checkAmounts() error {
	if s.DeadlineS != nil {
		if err := checkAmount("pressByS", s.DeadlineS); err != nil {
			return err
		}
	}
	return errors.Join(
		checkName("desk", s.Class), checkName("crew", s.Team), checkName("plate", s.Image),
		checkAmount("vcpus", s.CPUs), checkAmount("cards", s.GPUs), checkAmount("ramGb", s.MemoryGB),
		checkAmount("imageGb", s.ImageGB), checkAmount("expectedS", s.EstimateS),
		checkAmount("proofEveryS", s.CheckpointIntervalS), checkAmount("proofS", s.CheckpointDurationS),
	)
}
