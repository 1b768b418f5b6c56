package page

import "testing"

func TestReplace(t *testing.T) {
	tests := []struct {
		name, text, want string
		ok               bool
	}{
		{"replaced", "a\n" + Begin + "\nold\n" + End + "\nb", "a\n" + Begin + "\n\nnew\n\n" + End + "\nb", true},
		{"no end marker", "a" + Begin, "a" + Begin, false},
		{"no markers", "a", "a", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got, ok := Replace(tt.text, "new\n"); got != tt.want || ok != tt.ok {
				t.Errorf("Replace = %q, %v", got, ok)
			}
		})
	}
}
