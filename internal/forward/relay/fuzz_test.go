package relay

import (
	"net/http"
	"testing"
)

// Guards against fields of a relayed request that lead to numbers out of range.
func FuzzOpen(f *testing.F) {
	f.Add("entry-2", "1500", "1", "-1", "X-Other")
	f.Add("entry-2", "99999999999999999999", "-1", "9223372036854775808", "")
	f.Fuzz(func(t *testing.T, from, remaining, sends, last, connection string) {
		e, err := Open(http.Header{fieldFrom: {from}, fieldRemaining: {remaining}, fieldSends: {sends}, fieldLastEvent: {last}, fieldConnection: {connection}})
		if err == nil && (e.From == "" || e.Remaining < 0 || e.Sends < 0 || e.LastEvent < -1) {
			t.Errorf("%+v", e)
		}
	})
}
