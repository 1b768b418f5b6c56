package static

import (
	"strings"
	"testing"
)

func TestExample(t *testing.T) {
	if _, err := Load("../../../examples/forward/routes.jsonc"); err != nil {
		t.Error(err)
	}
}

func TestAllFaultsAtOnce(t *testing.T) {
	_, err := Parse("routes.jsonc", []byte(`{
  "services": [{"name": "s"}],
  "routes": [{"name": "r", "prefix": "a", "kind": "odd", "split": [{"service": "t", "weight": 1}]}],
  "upstreams": [{"id": "", "service": "t", "address": "x", "slots": 0}]
}`))
	if err == nil {
		t.Fatal("a faulty file is accepted")
	}
	for _, want := range []string{"version", "routes[0].prefix", "routes[0].kind", "routes[0].split", "upstreams[0].address", "upstreams[0].id", "upstreams[0].slots", "upstreams[0].service"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("%s is not named in:\n%v", want, err)
		}
	}
}
