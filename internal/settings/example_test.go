package settings_test

import (
	"errors"
	"fmt"

	"github.com/cobaltvale/cobaltvale/internal/settings"
)

func ExampleParseTuning() {
	tuning, err := settings.ParseTuning("state.lease = 8s\nplacement.starts_per_reply = 5\n")
	fmt.Println(tuning.StateLease, tuning.StartsPerResponse, tuning.OfferWait, err)
	// Output: 8s 5 300ms <nil>
}

func ExampleFieldError() {
	_, err := settings.ParseTuning("state.lease = 1ms")
	var field *settings.FieldError
	if errors.As(err, &field) {
		fmt.Println(field.Path)
	}
	fmt.Println(err)
	// Output:
	// state.lease
	// properties: state.lease must be a duration from 1s to 10m0s: "1ms"
}
