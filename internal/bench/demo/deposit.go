package demo

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"agateward/ward"
)

// depositKey is the idempotency key of the deposit that is sent twice.
const depositKey = "demo-deposit-1"

// deposit is the answer to one attempt of the deposit.
type deposit struct {
	entry  int
	status int
	code   string
	body   string
}

// depositTwice sends one deposit through two entries with the same key.
func (d *Demo) depositTwice(ctx context.Context) ([]deposit, error) {
	d.progress("a guest sends one deposit twice with the same idempotency key, through two entries")
	var list []deposit
	for i := 0; i < 2; {
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, d.fleet.Target(i)+"/services/booking/deposits",
			bytes.NewReader([]byte(`{"reference": "table-for-four"}`)))
		if err != nil {
			return nil, err
		}
		r.Header.Set("Content-Type", "application/json")
		r.Header.Set("Agateward-Team", "guests")
		r.Header.Set("Idempotency-Key", depositKey)
		res, err := http.DefaultClient.Do(r)
		if err != nil {
			return nil, err
		}
		body, err := io.ReadAll(res.Body)
		res.Body.Close()
		if err != nil {
			return nil, err
		}
		if res.StatusCode == http.StatusConflict {
			// The first run is not recorded yet: retry, as a client would.
			if err := (ward.SystemClock{}).Sleep(ctx, 100*time.Millisecond); err != nil {
				return nil, err
			}
			continue
		}
		i++
		list = append(list, deposit{i, res.StatusCode, res.Header.Get("Agateward-Code"), strings.TrimSpace(string(body))})
	}
	return list, nil
}
