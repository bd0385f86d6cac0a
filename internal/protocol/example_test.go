package protocol_test

import (
	"errors"
	"fmt"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

func ExampleCodec() {
	codec, err := protocol.NewCodec()
	if err != nil {
		fmt.Println(err)
		return
	}
	body := codec.Encode(protocol.Redirect{HeartbeatTo: "ctl-1"})
	var redirect protocol.Redirect
	if err := codec.Decode(body, &redirect); err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(redirect.HeartbeatTo)
	// Output: ctl-1
}

func ExampleSubmission_Validate() {
	id, kind := "wk-000412", "gang"
	_, err := (&protocol.Submission{ID: &id, Kind: &kind}).Validate()
	var field *protocol.FieldError
	if errors.As(err, &field) {
		fmt.Printf("%s: %v\n", field.Path, err)
	}
	// Output: form: form is missing or unknown
}

func ExampleParseTaskName() {
	job, task, ok := protocol.ParseTaskName("wk-000412/3")
	fmt.Println(job, task, ok)
	// Output: wk-000412 3 true
}
