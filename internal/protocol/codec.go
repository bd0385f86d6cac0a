package protocol

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// ErrNotMap says that a message is not a CBOR map, as all messages are.
var ErrNotMap = errors.New("body is not a CBOR map")

// Limits of a message from outside.
const (
	maxNestedLevels  = 12
	maxArrayElements = 20_000
	maxMapPairs      = 4096
)

// cborMajorTypeMap is in the upper three bits of a map's first byte (RFC 8949, 3.1).
const (
	cborMajorTypeMap   = 5
	cborMajorTypeShift = 5
)

// ErrorBody is the body of a refusal. Its text is for the user or worker refused.
type ErrorBody struct {
	Error string `cbor:"error"`
}

// Codec encodes and decodes CBOR within fixed bounds, so that no message from outside
// can make the process grow. Any number of goroutines may use it.
type Codec struct {
	encoder cbor.EncMode
	decoder cbor.DecMode
}

// NewCodec builds the codec.
func NewCodec() (*Codec, error) {
	encoder, err := cbor.EncOptions{}.EncMode()
	if err != nil {
		return nil, fmt.Errorf("cbor encoder: %w", err)
	}
	decoder, err := cbor.DecOptions{
		MaxNestedLevels:  maxNestedLevels,
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
	}.DecMode()
	if err != nil {
		return nil, fmt.Errorf("cbor decoder: %w", err)
	}
	return &Codec{encoder: encoder, decoder: decoder}, nil
}

// Encode returns v in CBOR. The types of this package always encode; it panics if v
// holds what has no form in CBOR, such as a channel.
func (c *Codec) Encode(v any) []byte {
	b, err := c.encoder.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("protocol: encoding %T: %v", v, err))
	}
	return b
}

// Decode reads one CBOR map into v, which points to a struct. It returns ErrNotMap for
// anything but a map, and an error of the decoder for a field of another type or for a
// message beyond the limits. Unknown fields are passed over.
func (c *Codec) Decode(b []byte, v any) error {
	if len(b) == 0 || b[0]>>cborMajorTypeShift != cborMajorTypeMap {
		return ErrNotMap
	}
	if err := c.decoder.Unmarshal(b, v); err != nil {
		return fmt.Errorf("cbor: %w", err)
	}
	return nil
}

// DecodeText reads a CBOR text; anything else reads as empty.
func (c *Codec) DecodeText(b []byte) string {
	var s string
	if err := c.decoder.Unmarshal(b, &s); err != nil {
		return ""
	}
	return s
}

// DecodeTexts reads a CBOR list of texts.
func (c *Codec) DecodeTexts(b []byte) ([]string, error) {
	var s []string
	if err := c.decoder.Unmarshal(b, &s); err != nil {
		return nil, fmt.Errorf("cbor: %w", err)
	}
	return s, nil
}

// DecodeTextMap reads a CBOR map of texts.
func (c *Codec) DecodeTextMap(b []byte) (map[string]string, error) {
	var m map[string]string
	if err := c.decoder.Unmarshal(b, &m); err != nil {
		return nil, fmt.Errorf("cbor: %w", err)
	}
	return m, nil
}
