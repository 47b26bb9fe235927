package peer

import (
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"google.golang.org/grpc/encoding"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// assertRoundTrip checks that valid decoded data encodes to CBOR that decodes and encodes to the same bytes.
func assertRoundTrip[T any](t *testing.T, data []byte, validate func(T) error) {
	t.Helper()
	codec := encoding.GetCodec(CodecName)
	var first, second T
	if codec.Unmarshal(data, &first) != nil || validate(first) != nil {
		return
	}
	encoded, err := codec.Marshal(&first)
	if err != nil {
		t.Fatalf("encode decoded value: %v", err)
	}
	if err := codec.Unmarshal(encoded, &second); err != nil {
		t.Fatalf("decode encoded value: %v", err)
	}
	again, err := codec.Marshal(&second)
	if err != nil || !reflect.DeepEqual(encoded, again) {
		t.Fatalf("round trip changed %x to %x (%v)", encoded, again, err)
	}
}

func addSeeds[T any](f *testing.F, values ...T) {
	f.Helper()
	for _, value := range values {
		data, err := encoding.GetCodec(CodecName).Marshal(&value)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte{0xa0})
	f.Add([]byte{0xbf, 0xff})
}

func FuzzRequest(f *testing.F) {
	addSeeds(f, eelgrassbeam.Request{
		ID: "r1", Service: "booking", Rank: eelgrassbeam.RankUrgent, Attempt: 1, AttemptID: "e1.1.1", Method: "POST", Target: "/confirm",
		TimeLeft: eelgrassbeam.Seconds(2), Origin: "e1", OriginRegion: "austro", IdempotencyKey: "k1",
		Site:   eelgrassbeam.Site{Service: "booking", Zone: "austro-1"},
		Header: map[string][]string{"Accept": {"text/plain"}}, Body: []byte("table 4"),
	})
	minimal, err := cbor.Marshal(map[string]any{"id": "r1", "service": "booking", "method": "GET", "attempt": 1, "attempt_id": "a"})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(minimal)
	f.Fuzz(func(t *testing.T, data []byte) {
		assertRoundTrip(t, data, eelgrassbeam.Request.Validate)
	})
}

func FuzzReply(f *testing.F) {
	addSeeds(f, eelgrassbeam.NotRun("r1", eelgrassbeam.ReasonDeadline), eelgrassbeam.Reply{
		RequestID: "r1", Outcome: eelgrassbeam.OutcomeAnswered, Status: 200, Body: []byte("ok"),
		Header: map[string][]string{"Content-Type": {"text/plain"}}, Upstream: "u1", Dispatcher: "e2",
		Load: eelgrassbeam.SiteLoad{Slots: 3, InProgress: 1},
	})
	f.Fuzz(func(t *testing.T, data []byte) {
		assertRoundTrip(t, data, func(r eelgrassbeam.Reply) error { return r.Validate("r1") })
	})
}
