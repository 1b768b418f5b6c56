package requestsim_test

import (
	"context"
	"testing"
	"time"

	"agateward/internal/measure/requestsim"
)

// TestSameSeedSameResult shows that a run depends on nothing but its setup.
func TestSameSeedSameResult(t *testing.T) {
	s := requestsim.Setup{Policy: requestsim.Agateward, Seed: 3, Load: 1.5, Warm: time.Second, Length: 5 * time.Second, Rest: 5 * time.Second}
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
