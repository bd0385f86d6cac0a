package simtest

import "github.com/cobaltvale/cobaltvale/internal/protocol"

// Node is the simulated host of one member, with the member's current process.
type Node struct {
	Name    string
	Process Process            // the last process that was started
	Up      bool               // whether the process runs
	Paused  bool               // the process doesn't execute; frames for it stay queued
	Links   map[string]*Stream // streams to other members, by member

	deployment *Deployment
}

// Call sends an HTTP request and returns the response. Its Status is 0 until the process
// has answered.
func (n *Node) Call(method, path string, body []byte) *HTTPResponse {
	return n.CallOnConnection(0, method, path, body)
}

// CallOnConnection is Call on the connection of the given number. A second response to the
// request fails the test.
func (n *Node) CallOnConnection(connection uint64, method, path string, body []byte) *HTTPResponse {
	response := &HTTPResponse{}
	n.Process.HandleHTTP(&HTTPRequest{Method: method, Path: path, Body: body, Conn: connection}, func(r HTTPResponse) {
		if response.Status != 0 {
			n.deployment.T.Fatal("answered twice")
		}
		*response = r
	})
	n.deployment.DeliverAll()
	return response
}

// Send sends a request without delivering any frames. The returned response is filled in
// once the process has answered.
func (n *Node) Send(method, path string) *HTTPResponse {
	response := &HTTPResponse{}
	n.Process.HandleHTTP(&HTTPRequest{Method: method, Path: path}, func(r HTTPResponse) { *response = r })
	return response
}

// Submit submits a job and advances the clock by one tick.
func (n *Node) Submit(request JobRequest) *HTTPResponse {
	r := n.Call("POST", "/submissions", n.deployment.Codec.Encode(map[string]any(request)))
	n.deployment.Advance(n.deployment.options.TickInterval) // until the leader has queued the job
	return r
}

// Status queries a job and returns the status code of the response with its body, which is
// decoded for 200 only.
func (n *Node) Status(id string) (int, protocol.JobStatus) {
	r := n.Call("GET", "/submissions/"+id, nil)
	var status protocol.JobStatus
	if r.Status == 200 {
		if err := n.deployment.Codec.Decode(r.Body, &status); err != nil {
			n.deployment.T.Fatal(err)
		}
	}
	return r.Status, status
}

// Cancel cancels a job and returns the status code of the response with the job's status,
// which is empty unless the code is 200.
func (n *Node) Cancel(id string) (int, string) {
	r := n.Call("POST", "/submissions/"+id+"/abort", nil)
	var status protocol.JobStatus
	if r.Status == 200 {
		if err := n.deployment.Codec.Decode(r.Body, &status); err != nil {
			n.deployment.T.Fatal(err)
		}
	}
	return r.Status, status.Status
}
