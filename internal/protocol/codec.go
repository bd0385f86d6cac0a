package protocol

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// ErrNotMap is returned for a message that is not a CBOR map; every message must be one.
var ErrNotMap = errors.New("body is not a CBOR map")

// Limits on messages from users, machines, the cloud and the state service.
const (
	maxNestedLevels  = 12
	maxArrayElements = 20_000
	maxMapPairs      = 4096
)

// The upper three bits of a CBOR item's first byte hold its major type (RFC 8949, 3.1), which is
// cborMajorTypeMap for a map.
const (
	cborMajorTypeMap   = 5
	cborMajorTypeShift = 5
)

// ErrorBody is the body of a response that rejects a request. Its text is addressed to the user
// or machine that sent the request.
type ErrorBody struct {
	Error string `cbor:"error"`
}

// Codec encodes and decodes CBOR within fixed limits, so that a message from outside cannot
// exhaust the memory of the process. It is safe for concurrent use.
type Codec struct {
	encoder cbor.EncMode
	decoder cbor.DecMode
}

// NewCodec returns a codec with the limits of this package.
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

// Encode returns v in CBOR. The types of this package always encode; Encode panics if v contains
// a value that CBOR cannot represent, such as a channel.
func (c *Codec) Encode(v any) []byte {
	b, err := c.encoder.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("protocol: encoding %T: %v", v, err))
	}
	return b
}

// Decode decodes one CBOR map into v, a pointer to a struct. It returns ErrNotMap if b is not a
// map, and a wrapped decoder error if a field has the wrong type or the message exceeds the
// limits. Unknown fields are ignored.
func (c *Codec) Decode(b []byte, v any) error {
	if len(b) == 0 || b[0]>>cborMajorTypeShift != cborMajorTypeMap {
		return ErrNotMap
	}
	if err := c.decoder.Unmarshal(b, v); err != nil {
		return fmt.Errorf("cbor: %w", err)
	}
	return nil
}

// DecodeText decodes a CBOR text string; it returns "" for anything else.
func (c *Codec) DecodeText(b []byte) string {
	var s string
	if err := c.decoder.Unmarshal(b, &s); err != nil {
		return ""
	}
	return s
}

// DecodeTexts decodes a CBOR array of text strings.
func (c *Codec) DecodeTexts(b []byte) ([]string, error) {
	var s []string
	if err := c.decoder.Unmarshal(b, &s); err != nil {
		return nil, fmt.Errorf("cbor: %w", err)
	}
	return s, nil
}

// DecodeTextMap decodes a CBOR map from text strings to text strings.
func (c *Codec) DecodeTextMap(b []byte) (map[string]string, error) {
	var m map[string]string
	if err := c.decoder.Unmarshal(b, &m); err != nil {
		return nil, fmt.Errorf("cbor: %w", err)
	}
	return m, nil
}
