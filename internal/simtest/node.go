package simtest

import "github.com/cobaltvale/cobaltvale/internal/protocol"

// Node is a member of the deployment, with its present process.
type Node struct {
	Name    string
	Process Process
	Up      bool
	Paused  bool // nothing of it runs, what comes for it waits
	Links   map[string]*Stream

	deployment *Deployment
}

// Call sends an HTTP request and returns the answer, or a Status of 0 while
// there is none.
func (n *Node) Call(method, path string, body []byte) *HTTPResponse {
	return n.CallOnConnection(0, method, path, body)
}

// CallOnConnection sends it on a connection of the given number.
func (n *Node) CallOnConnection(conn uint64, method, path string, body []byte) *HTTPResponse {
	out := &HTTPResponse{}
	n.Process.HandleHTTP(&HTTPRequest{Method: method, Path: path, Body: body, Conn: conn}, func(r HTTPResponse) {
		if out.Status != 0 {
			n.deployment.T.Fatal("answered twice")
		}
		*out = r
	})
	n.deployment.DeliverAll()
	return out
}

// Send sends a request without waiting for its response.
func (n *Node) Send(method, path string) *HTTPResponse {
	out := &HTTPResponse{}
	n.Process.HandleHTTP(&HTTPRequest{Method: method, Path: path}, func(r HTTPResponse) { *out = r })
	return out
}

// Submit hands a job in.
func (n *Node) Submit(request JobRequest) *HTTPResponse {
	r := n.Call("POST", "/submissions", n.deployment.Codec.Encode(map[string]any(request)))
	n.deployment.Advance(n.deployment.options.TickInterval) // until the leader has put it in order
	return r
}

// Status asks about a job, and returns the status code with what was answered.
func (n *Node) Status(id string) (int, protocol.JobStatus) {
	r := n.Call("GET", "/submissions/"+id, nil)
	var s protocol.JobStatus
	if r.Status == 200 {
		if err := n.deployment.Codec.Decode(r.Body, &s); err != nil {
			n.deployment.T.Fatal(err)
		}
	}
	return r.Status, s
}

// Cancel cancels a job, and returns the status code with the job's status.
func (n *Node) Cancel(id string) (int, string) {
	r := n.Call("POST", "/submissions/"+id+"/abort", nil)
	var s protocol.JobStatus
	if r.Status == 200 {
		if err := n.deployment.Codec.Decode(r.Body, &s); err != nil {
			n.deployment.T.Fatal(err)
		}
	}
	return r.Status, s.Status
}
