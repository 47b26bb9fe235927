package gossiper

import (
	"fmt"
	"net/netip"
	"testing"

	"google.golang.org/grpc/encoding"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/peer"
)

// BenchmarkExchange measures what one side of an exchange costs: building and encoding a digest, and decoding and
// merging the other side's.
func BenchmarkExchange(b *testing.B) {
	for _, entries := range []int{10, 73, 295} {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			e := newTestEntry(b, "e", "z1", Revisions{})
			members := make([]Member, 0, entries)
			for i := range entries {
				address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 8146)
				members = append(members, Member{Incarnation: 1796390078123456789, Entry: eelgrassbeam.Entry{
					ID: eelgrassbeam.EntryID(fmt.Sprintf("front-quito-a-%d", i)), Zone: "z1", PeerAddress: address, State: eelgrassbeam.InstanceLive,
				}})
			}
			e.merge(&digest{Members: members})
			codec := encoding.GetCodec(peer.CodecName)
			b.ReportAllocs()
			for b.Loop() {
				data, err := codec.Marshal(e.digest())
				if err != nil {
					b.Fatal(err)
				}
				var remote digest
				if err := codec.Unmarshal(data, &remote); err != nil {
					b.Fatal(err)
				}
				e.merge(&remote)
				b.SetBytes(int64(len(data)))
			}
		})
	}
}
