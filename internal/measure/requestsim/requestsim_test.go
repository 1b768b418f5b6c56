package requestsim_test

import (
	"context"
	"testing"
	"time"

	"agateward/internal/measure/requestsim"
)

// TestSameSeedSameResult checks that a run depends only on its setup.
func TestSameSeedSameResult(t *testing.T) {
	s := requestsim.Setup{Policy: requestsim.Agateward, Seed: 3, Load: 1.5, WarmUp: time.Second, Length: 5 * time.Second, Drain: 5 * time.Second}
	var good [2]int
	for i := range good {
		r, err := requestsim.Run(context.Background(), s)
		if err != nil {
			t.Fatal(err)
		}
		good[i], _ = r.Good()
	}
	if good[0] != good[1] || good[0] == 0 {
		t.Fatalf("good requests: %d and %d, want the same and some", good[0], good[1])
	}
}
