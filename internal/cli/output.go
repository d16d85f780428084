package cli

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// json prints a value for programs.
func (o *output) json(value any) error {
	encoder := json.NewEncoder(o.out)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(value), "write the output")
}

// table prints rows for people, with aligned columns.
func (o *output) table(header []string, rows [][]string) error {
	w := tabwriter.NewWriter(o.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(header, "\t"))
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return errors.Wrap(w.Flush(), "write the output")
}

func (o *output) printf(format string, args ...any) error {
	_, err := fmt.Fprintf(o.out, format, args...)
	return errors.Wrap(err, "write the output")
}

func (o *output) warnf(format string, args ...any) {
	fmt.Fprintf(o.errs, format, args...)
}
