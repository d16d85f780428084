// Package table defines the rows that benchmarks report, as JSON and as a text table.
package table

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// Row is one measured figure and its target.
type Row struct {
	Measure string `json:"measure"`
	User    string `json:"user"`
	Target  string `json:"target"`
	// Value is the measured figure in Unit.
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
	// Baseline holds the figures of the baselines by name.
	Baseline map[string]float64 `json:"baseline,omitempty"`
	// Met is always true for a row without a target.
	Met bool `json:"met"`
	// Note holds details for the reader, such as the number of trials.
	Note string `json:"note,omitempty"`
}

// Met reports whether every row met its target.
func Met(rows []Row) bool {
	for _, r := range rows {
		if !r.Met {
			return false
		}
	}
	return true
}

// Write prints the rows as an aligned text table.
func Write(w io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "MEASURE\tUSER\tTARGET\tVALUE\tBASELINES\tMET\tNOTE")
	for _, r := range rows {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", r.Measure, r.User, r.Target, formatValue(r.Value, r.Unit), formatBaselines(r), formatMet(r), r.Note)
	}
	return errors.WithStack(t.Flush())
}

func formatMet(r Row) string {
	switch {
	case r.Target == "":
		return "-"
	case r.Met:
		return "yes"
	default:
		return "NO"
	}
}

func formatValue(v float64, unit string) string {
	text := fmt.Sprintf("%.3g", v)
	if v >= 1000 {
		text = fmt.Sprintf("%.0f", v)
	}
	return strings.TrimSpace(text + " " + unit)
}

func formatBaselines(r Row) string {
	if len(r.Baseline) == 0 {
		return "-"
	}
	var parts []string
	for _, name := range []string{"own", "shared", "leader"} {
		if v, ok := r.Baseline[name]; ok {
			parts = append(parts, name+" "+formatValue(v, r.Unit))
		}
	}
	return strings.Join(parts, ", ")
}
