package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

func TestExamples(t *testing.T) {
	files, err := filepath.Glob("../../../examples/*/entry-*.jsonc")
	if err != nil || len(files) < 2 {
		t.Fatalf("examples: %v, %v", files, err)
	}
	for _, file := range files {
		if _, err := Load(file); err != nil {
			t.Errorf("%s: %v", file, err)
		}
	}
}

func TestFaults(t *testing.T) {
	files, err := filepath.Glob("testdata/*.jsonc")
	if err != nil || len(files) == 0 {
		t.Fatalf("testdata: %v, %v", files, err)
	}
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".jsonc")
		t.Run(name, func(t *testing.T) {
			b, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			_, faults := Parse(filepath.Base(file), b)
			var text strings.Builder
			for _, f := range faults {
				text.WriteString(f.String() + "\n")
			}
			goldie.New(t).Assert(t, name, []byte(text.String()))
		})
	}
}

func TestLoadReadsKeyFiles(t *testing.T) {
	b, err := os.ReadFile("../../../examples/brassie/entry-1.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	key := filepath.Join(dir, "key")
	text := strings.Replace(string(b), `"key": "example-operator-key"`, `"key-file": "`+key+`"`, 1)
	file := filepath.Join(dir, "entry.jsonc")
	for _, c := range []struct {
		name, key string
		ok        bool
	}{
		{"long enough", "0123456789abcdef\n", true},
		{"too short", "short", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(key, []byte(c.key), 0o600); err != nil {
				t.Fatal(err)
			}
			s, err := Load(file)
			if (err == nil) != c.ok {
				t.Fatalf("Load: %v", err)
			}
			if c.ok && s.Operators.Key != "0123456789abcdef" {
				t.Errorf("key = %q", s.Operators.Key)
			}
		})
	}
}
