package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"agateward/internal/operator/client"
	"agateward/internal/result/code"

	"github.com/urfave/cli/v3"
)

// operatorFlags returns the flags of the commands that query an entry, and more.
func operatorFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{Name: "entry", Value: "127.0.0.1:8081", Usage: "`ADDRESS` of an entry's listener for operators", Sources: cli.EnvVars("AGATEWARD_ENTRY")},
		&cli.StringFlag{Name: "key-file", Usage: "`FILE` with the operators' key (or AGATEWARD_KEY)"},
		&cli.StringFlag{Name: "output", Value: "table", Usage: "`FORM`: table or json", Validator: oneOf("table", "json")},
	}, more...)
}

// oneOf returns a validator that accepts only the given values.
func oneOf(values ...string) func(string) error {
	return func(v string) error {
		for _, x := range values {
			if v == x {
				return nil
			}
		}
		return code.BadCommand.New("value %q is not one of %v", v, values)
	}
}

// operatorClient returns a client for the address and key in the flags.
func operatorClient(c *cli.Command) (*client.Client, error) {
	key := os.Getenv("AGATEWARD_KEY")
	if file := c.String("key-file"); file != "" {
		b, err := os.ReadFile(file)
		if err != nil {
			return nil, code.BadCommand.Wrap(err, "read the key file")
		}
		key = string(trimSpace(b))
	}
	return client.New(c.String("entry"), key), nil
}

func trimSpace(b []byte) []byte {
	for len(b) > 0 && (b[len(b)-1] == '\n' || b[len(b)-1] == '\r' || b[len(b)-1] == ' ') {
		b = b[:len(b)-1]
	}
	return b
}

// getAndPrint gets a path from the entry and prints the reply as JSON or as a table.
func getAndPrint[T any](ctx context.Context, c *cli.Command, path string, table func(w io.Writer, v T)) error {
	cl, err := operatorClient(c)
	if err != nil {
		return err
	}
	var v T
	if err := cl.Get(ctx, path, &v); err != nil {
		return err
	}
	return printOutput(c, v, table)
}

// printOutput prints v in the format of --output.
func printOutput[T any](c *cli.Command, v T, table func(w io.Writer, v T)) error {
	w := c.Root().Writer
	if c.String("output") == "json" {
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return e.Encode(v)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	table(t, v)
	return t.Flush()
}

// singleArgument returns the argument of a command that takes exactly one.
func singleArgument(c *cli.Command, name string) (string, error) {
	if c.Args().Len() != 1 {
		return "", code.BadCommand.New("%s takes one argument: %s", c.FullName(), name)
	}
	return c.Args().First(), nil
}

// printRow prints one row of a table, with tabs between the cells.
func printRow(w io.Writer, cells ...any) {
	for i, v := range cells {
		if i > 0 {
			fmt.Fprint(w, "\t")
		}
		fmt.Fprint(w, v)
	}
	fmt.Fprintln(w)
}
