package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/operator"
)

const (
	columnGap  = 2
	jsonIndent = "  "
)

// row joins the cells into one tab-separated line of a table. An empty cell becomes "-".
func row(cells ...any) string {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		texts[i] = fmt.Sprint(cell)
		if texts[i] == "" {
			texts[i] = "-"
		}
	}
	return strings.Join(texts, "\t")
}

// printTable writes tab-separated rows as a table with aligned columns.
func (s *session) printTable(rows []string) error {
	writer := tabwriter.NewWriter(s.stdout, 0, 0, columnGap, ' ', 0)
	for _, line := range rows {
		if _, err := fmt.Fprintln(writer, line); err != nil {
			return err
		}
	}
	return writer.Flush()
}

// printJSON writes the value as indented JSON.
func (s *session) printJSON(value any) error {
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", jsonIndent)
	if err := encoder.Encode(value); err != nil {
		return err
	}
	_, err := out.WriteTo(s.stdout)
	return err
}

// print writes the value as JSON or the rows as a table, depending on the output format.
func (s *session) print(value any, rows []string) error {
	if s.options.output == outputJSON {
		return s.printJSON(value)
	}
	return s.printTable(rows)
}

func (s *session) printStored(stored storedChange) error {
	return s.print(stored, []string{fmt.Sprintf("stored: version %s, change %s", stored.revision(), stored.Change.ID)})
}

func (s *session) printDryRun() error {
	return s.print(struct {
		Valid bool `json:"valid"`
	}{true}, []string{"valid; nothing stored (dry run)"})
}

func (s *session) printConfirmation(c operator.Confirmation) error {
	line := fmt.Sprintf("in force: version %s on %d of %d entries", eelgrassbeam.NewRevision(c.Era, c.Version), c.InForce, c.Live)
	if len(c.Missing) > 0 {
		line += fmt.Sprintf("; missing: %v", c.Missing)
	}
	return s.print(c, []string{line})
}
