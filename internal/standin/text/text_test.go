package text

import "testing"

func TestCheck(t *testing.T) {
	a := Answer{Prompt: "a menu for eight"}
	tests := []struct {
		name string
		got  string
		ok   bool
	}{
		{"whole", a.Tokens(0, 4), true},
		{"resumed", a.Tokens(0, 2) + a.Tokens(2, 4), true},
		{"missing", a.Tokens(0, 2) + a.Tokens(3, 5), false},
		{"twice", a.Tokens(0, 2) + a.Tokens(1, 4), false},
		{"cut", a.Tokens(0, 3), false},
		{"crossed", Answer{Prompt: "a menu for nine"}.Tokens(0, 4), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if err := a.Check(tt.got, 4); (err == nil) != tt.ok {
				t.Errorf("Check = %v, want ok %v", err, tt.ok)
			}
		})
	}
}
