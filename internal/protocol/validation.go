package protocol

import (
	"fmt"
	"math"
)

const maxNameLength = 120

func checkAmount(name string, v *float64, atLeast float64) error {
	switch {
	case v == nil:
		return fmt.Errorf("%s is missing", name)
	case math.IsNaN(*v) || math.IsInf(*v, 0) || *v < atLeast || *v > 1e12:
		return fmt.Errorf("%s is out of range", name)
	}
	return nil
}

func checkLabel(name string, v *string) error {
	switch {
	case v == nil:
		return fmt.Errorf("%s is missing", name)
	case *v == "" || len(*v) > maxNameLength:
		return fmt.Errorf("%s has a bad length", name)
	}
	return nil
}
