package deduplicator

import (
	"encoding/json"
	"reflect"
	"testing"
)

func FuzzClaims(f *testing.F) {
	value, err := json.Marshal(Claims{Home: "a", Incarnation: 1, Claims: []Claim{{Key: 2, Fingerprint: 3}}}.WithChecksum())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(value)
	f.Fuzz(func(t *testing.T, data []byte) {
		var claims Claims
		if json.Unmarshal(data, &claims) != nil || string(data) == "null" {
			return
		}
		if claims.Checksum != claims.checksum() && !reflect.DeepEqual(claims, Claims{}) {
			t.Fatalf("%s was decoded although its checksum does not match", data)
		}
	})
}
