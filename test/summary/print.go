package summary

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
)

// Output selects the format and destination of a report.
type Output struct {
	IsJSON bool   // print the whole report instead of the page
	File   string // also write the whole report to this file, unless it is empty
}

// Print prints a run's page or its report as JSON, and writes the report to a file if output names one.
func Print(to io.Writer, page *Page, report any, output Output) error {
	content, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return fmt.Errorf("encode the report: %w", err)
	}
	content = append(content, '\n')
	if output.File != "" {
		if err := os.WriteFile(output.File, content, 0o644); err != nil {
			return fmt.Errorf("write the report: %w", err)
		}
	}
	if !output.IsJSON {
		return page.Write(to)
	}
	if _, err := to.Write(content); err != nil {
		return fmt.Errorf("print the report: %w", err)
	}
	return nil
}
