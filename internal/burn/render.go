package burn

import (
	"fmt"
	"html/template"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
)

// WriteText writes the report as a table for a terminal.
func (r *Report) WriteText(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "SERVICE\tPRIORITY\tTARGET\tMET (3d)\tBUDGET LEFT\tBURN 5m\t1h\t6h\t3d\tVERDICT\tREFUSALS")
	for _, l := range r.Lines {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%.1f\t%.1f\t%.1f\t%.1f\t%s\t%s\n",
			l.Service, l.Priority, l.targetText(), percent(l.window("3d").Share), l.budgetText(),
			l.window("5m").Burn, l.window("1h").Burn, l.window("6h").Burn, l.window("3d").Burn,
			l.Verdict, l.refusalText())
	}
	if err := table.Flush(); err != nil {
		return errors.WithStack(err)
	}
	for _, line := range r.coverageNotes() {
		if _, err := fmt.Fprintln(w, line); err != nil {
			return errors.WithStack(err)
		}
	}
	return nil
}

// coverageNotes returns sentences on what the counts do not cover.
func (r *Report) coverageNotes() []string {
	var notes []string
	if len(r.Unreachable) > 0 {
		notes = append(notes, "Not counted, since they did not answer: "+strings.Join(r.Unreachable, ", ")+".")
	}
	var withoutFolder []string
	for _, n := range r.Nodes {
		if !n.Durable {
			withoutFolder = append(withoutFolder, fmt.Sprintf("%s (since %s)", n.Node, time.Unix(n.SinceS, 0).UTC().Format(time.RFC3339)))
		}
	}
	if len(withoutFolder) > 0 {
		notes = append(notes, "Counts begin at the last start, since there is no data folder, on: "+strings.Join(withoutFolder, ", ")+".")
	}
	return notes
}

// window returns the rate of the window with the name.
func (l *Line) window(name string) Rate {
	for _, r := range l.Rates {
		if r.Window == name {
			return r
		}
	}
	return Rate{}
}

func (l *Line) targetText() string {
	if l.TargetShare == 0 {
		return "none"
	}
	return fmt.Sprintf("%s in %d ms", percent(l.TargetShare), l.TargetLatencyMS)
}

func (l *Line) budgetText() string {
	if l.TargetShare == 0 {
		return "-"
	}
	return percent(l.BudgetLeft)
}

func (l *Line) refusalText() string {
	if len(l.Refusals) == 0 {
		return "-"
	}
	var parts []string
	for _, kind := range slices.Sorted(maps.Keys(l.Refusals)) {
		parts = append(parts, fmt.Sprintf("%s %d", kind, l.Refusals[kind]))
	}
	return strings.Join(parts, ", ")
}

func percent(share float64) string {
	return fmt.Sprintf("%.2f%%", share*100)
}

var page = template.Must(template.New("burn").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
<style>
body { font: 15px sans-serif; margin: 2em auto; max-width: 70em; color: #222; }
table { border-collapse: collapse; } th, td { padding: .3em .8em; text-align: left; border-bottom: 1px solid #ddd; }
.page { color: #b00; font-weight: bold; } .ticket { color: #b60; font-weight: bold; } svg { max-width: 100%; height: auto; }
</style></head><body>
<h1>Service-level burn</h1>
<p>Made at {{.Time}}.</p>
{{range .Notes}}<p><strong>{{.}}</strong></p>{{end}}
<table><tr><th>Service</th><th>Priority</th><th>Target</th><th>Met (3 days)</th><th>Budget left</th><th>Burn 5 min</th><th>1 h</th><th>6 h</th><th>3 days</th><th>Verdict</th><th>Refusals</th></tr>
{{range .Rows}}<tr><td>{{.Service}}</td><td>{{.Priority}}</td><td>{{.Target}}</td><td>{{.Met}}</td><td>{{.Budget}}</td>{{range .Burns}}<td>{{.}}</td>{{end}}<td class="{{.Verdict}}">{{.Verdict}}</td><td>{{.Refusals}}</td></tr>
{{end}}</table>
{{range .Rows}}<h2>{{.Service}}, {{.Priority}}</h2>{{.Plot}}{{end}}
</body></html>
`))

type pageRow struct {
	Service, Priority, Target, Met, Budget, Verdict, Refusals string
	Burns                                                     []string
	Plot                                                      template.HTML
}

// WriteHTML writes the report as one self-contained HTML page with plots.
func (r *Report) WriteHTML(w io.Writer) error {
	rows := make([]pageRow, 0, len(r.Lines))
	for i := range r.Lines {
		row, err := r.Lines[i].row()
		if err != nil {
			return err
		}
		rows = append(rows, row)
	}
	data := struct {
		Time  string
		Notes []string
		Rows  []pageRow
	}{time.Unix(r.TimeS, 0).UTC().Format(time.RFC3339), r.coverageNotes(), rows}
	return errors.Wrap(page.Execute(w, data), "write the burn page")
}

func (l *Line) row() (pageRow, error) {
	svg, err := l.plot()
	if err != nil {
		return pageRow{}, err
	}
	row := pageRow{
		Service:  l.Service,
		Priority: l.Priority,
		Target:   l.targetText(),
		Met:      percent(l.window("3d").Share),
		Budget:   l.budgetText(),
		Verdict:  l.Verdict,
		Refusals: l.refusalText(),
		Plot:     template.HTML(svg),
	}
	for _, name := range []string{"5m", "1h", "6h", "3d"} {
		row.Burns = append(row.Burns, fmt.Sprintf("%.1f", l.window(name).Burn))
	}
	return row, nil
}
