package simtest

// JobRequest is the body of a submission, as a user sends it.
type JobRequest map[string]any

// BatchJob returns the submission of an array job (form "batch") of the team blue.
func BatchJob(id string, taskCount int) JobRequest {
	return JobRequest{"nameId": id, "desk": "d", "crew": "blue", "form": "batch", "urgency": "standard", "pages": taskCount,
		"vcpus": 2.0, "cards": 0.0, "ramGb": 4.0, "plate": "img", "imageGb": 1.0, "breeds": nil, "hall": nil,
		"together": false, "apart": false, "loaners": true, "expectedS": 30.0, "proofEveryS": 0.0, "proofS": 0.0, "pressByS": nil}
}

// With sets one field of the request, in place.
func (request JobRequest) With(key string, v any) JobRequest {
	request[key] = v
	return request
}

// ServiceJob returns the submission of a service of the team blue.
func ServiceJob(id string, taskCount int) JobRequest {
	return BatchJob(id, taskCount).With("form", "service").With("urgency", "production").With("expectedS", 0.0).With("loaners", false)
}
