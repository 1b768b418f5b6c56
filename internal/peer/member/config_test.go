package member

import "testing"

func TestParseCountsMove(t *testing.T) {
	tests := []struct {
		name   string
		move   string
		ticket uint64
	}{
		{"menus-v2@7/3", "menus-v2", 7},
		{"menus-v2@7", "menus-v2", 7},
		{"menus-v2", "menus-v2", 0},
		{"menus-v2@x/1", "menus-v2", 0},
	}
	for _, tt := range tests {
		if move, ticket := parseCountsMove(tt.name); move != tt.move || ticket != tt.ticket {
			t.Errorf("%s: got %s and %d", tt.name, move, ticket)
		}
	}
}
