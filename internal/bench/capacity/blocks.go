package capacity

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
)

// importBlocks adds n blocks to the cache of a stand-in engine. Each makes one
// cache event.
func importBlocks(ctx context.Context, address string, n int) error {
	random := rand.New(rand.NewPCG(1, 0))
	var body struct {
		Prefix []uint64 `json:"prefix"`
	}
	for range n {
		body.Prefix = append(body.Prefix, random.Uint64())
	}
	b, err := json.Marshal(body)
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/agateward/kv", bytes.NewReader(b))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("import blocks: %s", resp.Status)
	}
	return nil
}
