package deduplicator

import (
	"encoding/binary"
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// Claim reserves an idempotency key for one request.
type Claim struct {
	// Key is the hash of service, team and idempotency key.
	Key uint64 `json:"key"`
	// Fingerprint is the hash of method, host, target and body.
	Fingerprint uint64 `json:"fingerprint"`
	// Age is the time from the claim to the write of this object, for a claim that is written again.
	Age eelgrassbeam.Duration `json:"age,omitzero"`
}

// Claims is a batch of claims that one home writes as a single platform object.
type Claims struct {
	Home        eelgrassbeam.EntryID `json:"home"`
	Incarnation uint64               `json:"incarnation"`
	Bucket      int                  `json:"bucket"`
	Sequence    uint64               `json:"sequence"`
	Claims      []Claim              `json:"claims"`
	// Checksum is the xxHash64 of all other fields.
	Checksum uint64 `json:"checksum"`
}

// WithChecksum returns a copy with Checksum set.
func (c Claims) WithChecksum() Claims {
	c.Checksum = c.checksum()
	return c
}

// UnmarshalJSON decodes the claims and returns ErrInvalid if the checksum does not match.
func (c *Claims) UnmarshalJSON(data []byte) error {
	type plain Claims
	var decoded plain
	if err := json.Unmarshal(data, &decoded); err != nil {
		return fmt.Errorf("%w: decode claims: %w", eelgrassbeam.ErrInvalid, err)
	}
	if want := Claims(decoded).checksum(); decoded.Checksum != want {
		return fmt.Errorf("%w: claims of %q: checksum mismatch: got %x, want %x", eelgrassbeam.ErrInvalid, decoded.Home, decoded.Checksum, want)
	}
	*c = Claims(decoded)
	return nil
}

func (c Claims) checksum() uint64 {
	digest := xxhash.New()
	write := func(n uint64) { _, _ = digest.Write(binary.BigEndian.AppendUint64(nil, n)) }
	_, _ = digest.WriteString(string(c.Home))
	write(c.Incarnation)
	write(uint64(c.Bucket))
	write(c.Sequence)
	for _, claim := range c.Claims {
		write(claim.Key)
		write(claim.Fingerprint)
		if claim.Age.Duration > 0 {
			write(uint64(claim.Age.Duration))
		}
	}
	return digest.Sum64()
}
