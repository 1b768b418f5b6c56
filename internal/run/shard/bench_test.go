package shard

import (
	"fmt"
	"testing"
	"time"

	"agateward/internal/run/record"
	"agateward/ward"
)

// BenchmarkCommit measures the processor time of one commit of one claim into a
// document of each size.
func BenchmarkCommit(b *testing.B) {
	now := time.Unix(1_800_000_000, 0)
	for _, size := range []int{16 << 10, 64 << 10, 256 << 10} {
		b.Run(fmt.Sprintf("%dKB", size>>10), func(b *testing.B) {
			doc, _ := record.Decode(nil)
			for i := 0; doc.Size() < size; i++ {
				c := record.Claim{Key: record.KeyOf("club", fmt.Sprint(i)), BodyHash: 1, Attempt: "entry-1.0d9f6c1e-3c1f-4a57", Until: now}
				doc.Begin(now, c)
				doc.Settle(now, record.Outcome{Claim: c, State: record.Finished, Status: 200, Kept: true, Body: make([]byte, 100)})
			}
			value, err := doc.Encode()
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				s := &Shard{Limits: Limits{ArchiveThreshold: 1 << 20}}
				s.Claim(now, record.Claim{Key: record.KeyOf("club", fmt.Sprint("new-", i)), BodyHash: 1, Attempt: "a", Until: now})
				s.Done(now, Result{Record: ward.Record{Value: value, Revision: 1}})
				s.Done(now, Result{Record: ward.Record{Revision: 2}})
			}
		})
	}
}
