package protocol

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// ErrorBody is the body of a refusal.
type ErrorBody struct {
	Error string `cbor:"error"`
}

// Codec encodes and decodes CBOR within fixed bounds, so that no message
// from outside can make the process grow.
type Codec struct {
	encoder cbor.EncMode
	decoder cbor.DecMode
}

// NewCodec builds the codec.
func NewCodec() (*Codec, error) {
	enc, err := cbor.EncOptions{}.EncMode()
	if err != nil {
		return nil, fmt.Errorf("cbor encoder: %w", err)
	}
	dec, err := cbor.DecOptions{
		MaxNestedLevels:  12,
		MaxArrayElements: 20000,
		MaxMapPairs:      4096,
	}.DecMode()
	if err != nil {
		return nil, fmt.Errorf("cbor decoder: %w", err)
	}
	return &Codec{encoder: enc, decoder: dec}, nil
}

// Encode returns v in CBOR. The types of this package always encode.
func (c *Codec) Encode(v any) []byte {
	b, err := c.encoder.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("protocol: encoding %T: %v", v, err))
	}
	return b
}

// Decode reads one CBOR map into v, which points to a struct.
func (c *Codec) Decode(b []byte, v any) error {
	if len(b) == 0 || b[0]>>5 != 5 {
		return fmt.Errorf("body is not a CBOR map")
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
