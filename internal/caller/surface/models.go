package surface

import (
	"encoding/json"
	"net/http"
	"sort"

	"agateward/internal/caller/refusal"
	"agateward/internal/result/code"
	"agateward/ward"

	"github.com/julienschmidt/httprouter"
)

// model is one item of the list of models, in the format of the OpenAI API.
type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// models lists the models that have a route.
func (s *Surface) models(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	cfg := s.Config()
	if cfg == nil {
		refusal.Of(code.NotReady.New("this entry has no configuration yet"), "").Write(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{"list", modelsOf(cfg)})
}

func modelsOf(cfg *ward.Config) []model {
	seen := make(map[string]bool)
	list := []model{}
	for _, r := range cfg.Routes {
		if r.Kind != ward.KindEngine || seen[r.Serves] {
			continue
		}
		seen[r.Serves] = true
		list = append(list, model{ID: r.Serves, Object: "model", Created: cfg.Accepted.Unix(), OwnedBy: cfg.Fleet})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}
