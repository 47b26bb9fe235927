package eelgrassbeam

import (
	"bytes"
	"encoding/json"
	"testing"
)

// assertStableJSON checks that a valid decoded value can be encoded, and that decoding and encoding it again gives the
// same bytes. Input that cannot be decoded or is not valid is skipped.
func assertStableJSON[T interface{ Validate() error }](t *testing.T, data []byte) {
	t.Helper()
	var first, second T
	if json.Unmarshal(data, &first) != nil || first.Validate() != nil {
		return
	}
	encoded, err := json.Marshal(first)
	if err != nil {
		t.Fatalf("encode decoded value: %v", err)
	}
	if err := json.Unmarshal(encoded, &second); err != nil {
		t.Fatalf("decode encoded value: %v", err)
	}
	again, err := json.Marshal(second)
	if err != nil || !bytes.Equal(encoded, again) {
		t.Fatalf("%s changed to %s after decoding and encoding again (error: %v)", encoded, again, err)
	}
}

// assertChecked checks that a type that validates itself while it is decoded never yields an invalid value.
func assertChecked[T interface{ Validate() error }](t *testing.T, data []byte) {
	t.Helper()
	var decoded T
	if json.Unmarshal(data, &decoded) != nil || string(bytes.TrimSpace(data)) == "null" {
		return
	}
	if err := decoded.Validate(); err != nil {
		t.Fatalf("%s was decoded although it is invalid: %v", data, err)
	}
}

const seedException = `{"id":"x1","setting":"weight","target_kind":"zone","target":"austro-1","value":"0.5",
"reason":"works on the link","author":"op","created_at":"2026-01-02T03:04:05Z"}`

const seedConfiguration = `{"version":3,"change":{"id":"c1","author":"op","at":"2026-01-02T03:04:05Z"},
"defaults":{"lookup_ttl":"5s","lookup_entries":3,"body_limit_bytes":1048576,"progress_timeout":"1s",
"idempotency_window":"60s","shift_cap_per_second":100,"region_headroom":0.2,"link_mbit_per_second":280,
"slow_start":"10s","services":[{"name":"booking","hosts":["booking.example"],
"routes":[{"method":"*","path_prefix":"/","rank":"urgent","idempotent":true}],"slots_per_upstream":3,
"connections_per_upstream":360,"ranks":[{"rank":"urgent","floor":0.5,"deadline":"2s","queue_limit":64}],
"retry_share":0.1,"probe_interval":"1s"}]},"exceptions":[` + seedException + `]}`

const seedInstance = `{"id":"e1","kind":"entry","state":"live","zone":"austro-1","region":"austro",
"address":"192.0.2.1:80","peer_address":"192.0.2.1:81"}`

func FuzzConfiguration(f *testing.F) {
	f.Add([]byte(seedConfiguration))
	f.Fuzz(func(t *testing.T, data []byte) {
		assertChecked[Configuration](t, data)
		assertStableJSON[Configuration](t, data)
	})
}

func FuzzInstance(f *testing.F) {
	f.Add([]byte(seedInstance))
	f.Add([]byte(`{"id":"u1","kind":"backend_server","state":"leaving","service":"events","zone":"austro-1",
"region":"austro","address":"[2001:db8::1]:80"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		assertChecked[Instance](t, data)
		assertStableJSON[Instance](t, data)
	})
}

func FuzzException(f *testing.F) {
	f.Add([]byte(seedException))
	f.Fuzz(func(t *testing.T, data []byte) { assertStableJSON[Exception](t, data) })
}
