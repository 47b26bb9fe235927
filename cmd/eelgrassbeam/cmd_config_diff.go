package main

import "context"

// configDiff shows what applying a file would change.
var configDiff = command{
	name:        "config diff",
	description: "show what a configuration document would change; - reads standard input",
	arguments:   []string{"FILE"},
	action: func(ctx context.Context, s *session, args []string) error {
		data, err := s.readFile(args[0])
		if err != nil {
			return err
		}
		wanted, err := parseDocument(data)
		if err != nil {
			return err
		}
		current, _, err := s.configuration(ctx)
		if err != nil {
			return err
		}
		document, err := parseDocument(current)
		if err != nil {
			return err
		}
		return s.printDifferences(diff(editableFields(document), editableFields(wanted)))
	},
}

// editableFields returns the fields of the document that operators edit. The other fields, such as the version,
// differ between any two stored versions.
func editableFields(document any) any {
	fields, ok := document.(map[string]any)
	if !ok {
		return document
	}
	return map[string]any{"defaults": fields["defaults"], "exceptions": fields["exceptions"]}
}

func (s *session) printDifferences(found []difference) error {
	if found == nil {
		found = []difference{}
	}
	var rows []string
	for _, d := range found {
		rows = append(rows, row(d.Path, d.Old, "->", d.New))
	}
	return s.print(found, rows)
}
