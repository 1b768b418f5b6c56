package ward

import (
	"encoding/json"
	"fmt"
	"time"
)

// Duration is a time.Duration that is encoded in JSON as a string such as
// "250ms" or "4h".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String returns d in the format of time.Duration.String.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalJSON encodes d as a string.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(d.String()) }

// UnmarshalJSON decodes a string in the format of time.ParseDuration. It rejects
// plain numbers because they have no unit.
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
