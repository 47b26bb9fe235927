package deduplicator

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// Buckets is the number of partitions of the keys. Each has one home per region and its own kind of platform object.
const Buckets = 4

// Home returns the home of the key: the live entry of the region with the highest rendezvous hash.
func Home(fleet *eelgrassbeam.Fleet, region eelgrassbeam.RegionID, key eelgrassbeam.IdempotencyKey) (eelgrassbeam.Entry, bool) {
	return bucketHome(fleet, region, bucketOf(key))
}

func bucketHome(fleet *eelgrassbeam.Fleet, region eelgrassbeam.RegionID, bucket int) (eelgrassbeam.Entry, bool) {
	var best eelgrassbeam.Entry
	var bestScore uint64
	found := false
	for _, entry := range fleet.Entries {
		if entry.Region != region || entry.State != eelgrassbeam.InstanceLive {
			continue
		}
		if score := scoreOf(bucket, entry.ID); !found || score > bestScore {
			best, bestScore, found = entry, score, true
		}
	}
	return best, found
}

func bucketOf(key eelgrassbeam.IdempotencyKey) int {
	return int(xxhash.Sum64String(string(key)) % Buckets)
}

func scoreOf(bucket int, id eelgrassbeam.EntryID) uint64 {
	digest := xxhash.New()
	_, _ = digest.Write(binary.BigEndian.AppendUint64(nil, uint64(bucket)))
	_, _ = digest.WriteString(string(id))
	return digest.Sum64()
}

// scopedKey is an idempotency key qualified by service and team.
type scopedKey struct {
	service eelgrassbeam.ServiceName
	team    eelgrassbeam.TeamID
	key     eelgrassbeam.IdempotencyKey
}

func scopedKeyOf(request eelgrassbeam.Request) scopedKey {
	return scopedKey{service: request.Service, team: request.Team, key: request.IdempotencyKey}
}

func (s scopedKey) hash() uint64 { return hashOf(string(s.service), string(s.team), string(s.key)) }

// fingerprintOf hashes method, host, target and body, to detect a key that is reused for a different request.
func fingerprintOf(request eelgrassbeam.Request) uint64 {
	return hashOf(request.Method, request.Host, request.Target, string(request.Body))
}

func hashOf(parts ...string) uint64 {
	digest := xxhash.New()
	for _, part := range parts {
		_, _ = digest.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		_, _ = digest.WriteString(part)
	}
	return digest.Sum64()
}
