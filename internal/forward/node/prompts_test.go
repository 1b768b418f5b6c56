package node

import (
	"testing"
	"time"
)

// Guards against messages about parts of prompts that take more than the bytes for all
// control of an entry, 16 KB a second, while upstreams crash.
func TestPromptMessagesAreBounded(t *testing.T) {
	const maxRate = 16 << 10
	for _, sent := range []int{0, 200, 4 << 10, 60 << 10} {
		pause := promptPause(sent)
		if rate := float64(sent) / pause.Seconds(); rate > maxRate || pause < minPeerStateInterval {
			t.Errorf("%.0f bytes a second after %d bytes and %v", rate, sent, pause.Round(time.Millisecond))
		}
	}
}
