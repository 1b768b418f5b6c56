package cmd

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// raceDetector is true in a build with the race detector.
var raceDetector bool

// Guards against an entry that runs out of memory as callers send heads that do not
// end.
func TestMemoryUnderSlowCallers(t *testing.T) {
	if raceDetector {
		t.Skip("with the race detector connections without a byte take most of the limit; .ci/run plays this without it too")
	}
	var distinct strings.Builder
	for i := 0; distinct.Len() < 60<<10; i++ {
		fmt.Fprintf(&distinct, "%x:\r\n", i)
	}
	tests := []struct {
		name, send string
		callers    int
	}{
		{"half a head", "POST /faulty/x HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 60<<10), 3500},
		{"half a head of many fields", "POST /faulty/x HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("A: b\r\n", 10<<10), 3500},
		{"half a head of distinct fields", "POST /faulty/x HTTP/1.1\r\nHost: h\r\n" + distinct.String(), 3500},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var asked atomic.Int64
			e := startEntry(t, endlessCase{kind: "safe"}, &asked)
			for range tt.callers {
				c, err := net.Dial("tcp", e.address)
				if err != nil {
					t.Fatal(err)
				}
				defer c.Close()
				_, _ = io.WriteString(c, tt.send) // the entry may end the connection
			}
			time.Sleep(1500 * time.Millisecond)
			peak := e.peakMemory()
			t.Logf("%d callers: peak %d MB", tt.callers, peak)
			if peak >= endlessMemory {
				t.Errorf("peak memory %d MB, the limit is %d MB", peak, endlessMemory)
			}
		})
	}
}
