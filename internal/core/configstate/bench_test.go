package configstate

import (
	"bytes"
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"testing"

	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// generatedRecord returns a record with the given numbers of teams and entry hosts, over 8
// regions with 26 failure domains, and 11 models. Records with different notes differ in content.
func generatedRecord(teams, hosts int, note string) []byte {
	m := map[string]any{"schema_version": 2, "note": note, "operators": []any{map[string]any{"name": "o", "key_hashes": []string{hexDigest("op")}}}}
	var regions, hostList, teamList, models []any
	domain := 0
	for r := range 8 {
		var domains []string
		for range []int{4, 3}[min(1, r/2)] {
			domains = append(domains, fmt.Sprintf("domain-%02d", domain))
			domain++
		}
		regions = append(regions, map[string]any{"name": fmt.Sprintf("region-%d", r), "failure_domains": domains})
		for h := range hosts / 8 {
			hostList = append(hostList, map[string]any{
				"id": fmt.Sprintf("host-%d-%03d", r, h), "region": fmt.Sprintf("region-%d", r), "failure_domain": domains[h%len(domains)],
				"peer": fmt.Sprintf("10.%d.%d.1:7000", r, h), "caller": fmt.Sprintf("http://10.%d.%d.1:8080", r, h),
			})
		}
	}
	for i := range 11 {
		models = append(models, map[string]any{"name": fmt.Sprintf("model-%02d", i)})
	}
	for i := range teams {
		teamList = append(teamList, map[string]any{
			"name": fmt.Sprintf("team-%04d", i), "home": fmt.Sprintf("region-%d", i%8), "kind": "default",
			"weight": 1 + i%5, "key_hashes": []string{hexDigest(fmt.Sprint(i))},
		})
	}
	m["regions"], m["hosts"], m["teams"], m["models"] = regions, hostList, teamList, models
	m["residency"] = []any{map[string]any{"kind": "default"}, map[string]any{"kind": "bound", "home_only": true}}
	data, err := json.Marshal(m)
	if err != nil {
		panic(err)
	}
	return data
}

// hexDigest returns the SHA-256 hash of a string in hex.
func hexDigest(s string) string {
	d := sha256.Sum256([]byte(s))
	return hex.EncodeToString(d[:])
}

var benchSigningKey = ed25519.NewKeyFromSeed(bytes.Repeat([]byte{7}, ed25519.SeedSize))

// BenchmarkInstall measures the cost of one accepted change on an entry host (delta, digest,
// signature, parsing and validation) by number of teams.
func BenchmarkInstall(b *testing.B) {
	for _, teams := range []int{20, 200, 2000} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			one, two := generatedRecord(teams, 360, "1"), generatedRecord(teams, 360, "2")
			blob := func(v uint64, raw []byte) *pb.ConfigBlob {
				s := &pb.ConfigStamp{Generation: 1, Version: v, Digest: Digest(raw)}
				return &pb.ConfigBlob{Stamp: s, Record: raw, Signature: Sign(benchSigningKey, s)}
			}
			current, err := Install(nil, blob(1, one), benchSigningKey.Public().(ed25519.PublicKey))
			if err != nil {
				b.Fatal(err)
			}
			next := UpdateFor(blob(2, two), 1, 1, one)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Install(current, next, benchSigningKey.Public().(ed25519.PublicKey)); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(two)), "record-bytes")
			b.ReportMetric(float64(len(next.Delta.Middle)), "delta-bytes")
		})
	}
}

// BenchmarkAccept measures the cost of one change in a control replica's state machine.
func BenchmarkAccept(b *testing.B) {
	for _, teams := range []int{20, 2000} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			m := NewMachine(1)
			rec := generatedRecord(teams, 360, "x")
			v := uint64(0)
			b.ReportAllocs()
			for b.Loop() {
				if r := m.Apply(&pb.Command{BaseVersion: v, ChangeId: fmt.Sprint(v), Record: rec}); r.Version != v+1 {
					b.Fatal(r)
				}
				v++
			}
			b.ReportMetric(float64(len(m.Snapshot())), "snapshot-bytes")
		})
	}
}
