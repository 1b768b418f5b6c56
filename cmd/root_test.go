package cmd

import (
	"context"
	"testing"
)

func TestExitCodes(t *testing.T) {
	cases := []struct {
		name string
		args []string
		want int
	}{
		{"version", []string{"version"}, ExitOK},
		{"codes", []string{"codes"}, ExitOK},
		{"help", []string{"--help"}, ExitOK},
		{"help of a command", []string{"ticket", "submit", "--help"}, ExitOK},
		{"unknown command", []string{"bogus"}, ExitUsage},
		{"unknown subcommand", []string{"ticket", "bogus"}, ExitUsage},
		{"unknown flag", []string{"status", "--bad"}, ExitUsage},
		{"missing argument", []string{"move", "show"}, ExitUsage},
		{"missing file", []string{"settings", "check", "testdata/none"}, ExitUsage},
		{"unknown output format", []string{"status", "--output", "xml"}, ExitUsage},
		{"entry down", []string{"status", "--entry", "127.0.0.1:1"}, ExitUnreachable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := Run(context.Background(), append([]string{"agateward"}, c.args...)); got != c.want {
				t.Errorf("exit code %d, want %d", got, c.want)
			}
		})
	}
}
