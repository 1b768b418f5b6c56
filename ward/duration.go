package ward

import (
	"encoding/json"
	"fmt"
	"time"
)

// Duration is a time.Duration that is written as a string such as "250ms" or
// "4h" in JSON.
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String returns d in the notation of time.Duration.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalJSON writes d as a string.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(d.String()) }

// UnmarshalJSON reads a string in the notation of time.ParseDuration. It
// refuses numbers, which carry no unit.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return fmt.Errorf("a duration is a string with a unit, such as %q", "250ms")
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return fmt.Errorf("duration %q: use a number with a unit, such as %q", s, "250ms")
	}
	*d = Duration(v)
	return nil
}
