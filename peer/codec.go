package peer

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"google.golang.org/grpc/encoding"
)

// CodecName is the gRPC content subtype of messages between entries.
const CodecName = "cbor"

// codec encodes struct-tagged domain types as CBOR. Types with an UnmarshalText method are validated when decoded.
type codec struct {
	enc cbor.EncMode
	dec cbor.DecMode
}

func newCodec() (codec, error) {
	encOptions := cbor.CoreDetEncOptions()
	encOptions.TextMarshaler = cbor.TextMarshalerTextString
	encOptions.Time = cbor.TimeRFC3339Nano
	enc, err := encOptions.EncMode()
	if err != nil {
		return codec{}, fmt.Errorf("create CBOR encoder: %w", err)
	}
	dec, err := cbor.DecOptions{
		TextUnmarshaler:  cbor.TextUnmarshalerTextString,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
	}.DecMode()
	if err != nil {
		return codec{}, fmt.Errorf("create CBOR decoder: %w", err)
	}
	return codec{enc: enc, dec: dec}, nil
}

// maxElements limits the elements of one decoded array and the pairs of one decoded map.
const maxElements = 1 << 18

// Name implements encoding.Codec.
func (codec) Name() string { return CodecName }

// Marshal implements encoding.Codec.
func (c codec) Marshal(v any) ([]byte, error) {
	data, err := c.enc.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", v, err)
	}
	return data, nil
}

// Unmarshal implements encoding.Codec.
func (c codec) Unmarshal(data []byte, v any) error {
	if err := c.dec.Unmarshal(data, v); err != nil {
		return fmt.Errorf("decode %T: %w", v, err)
	}
	return nil
}

func init() {
	c, err := newCodec()
	if err != nil {
		panic(err)
	}
	encoding.RegisterCodec(c)
}
