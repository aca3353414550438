package childprocess

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// logMarks are texts that indicate a fault in a daemon's log.
var logMarks = []string{"an invariant is violated", "panic:", "panic serving", "superfluous", "DATA RACE", "fatal error:"}

// LogMarks returns the texts that ScanLogs looks for.
func LogMarks() []string { return append([]string(nil), logMarks...) }

// maxLogLine is the longest log line that can be read, and maxReported the longest part of it that is reported, in
// bytes.
const (
	maxLogLine  = 1 << 20
	maxReported = 400
)

// NoLogsError reports that a folder contains no log file.
type NoLogsError struct{ Folder string }

func (err NoLogsError) Error() string { return "no log file in " + err.Folder }

// ScanLogs searches all files of a folder whose names end in .log for the texts of LogMarks. It returns each matching
// line with the name of its file. It fails if a log cannot be read or the folder contains none.
func ScanLogs(folder string) (faults []string, err error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, fmt.Errorf("list the logs: %w", err)
	}
	hasLogs := false
	for _, entry := range entries {
		if !strings.HasSuffix(entry.Name(), ".log") {
			continue
		}
		hasLogs = true
		found, err := scanLog(filepath.Join(folder, entry.Name()))
		if err != nil {
			return faults, err
		}
		faults = append(faults, found...)
	}
	if !hasLogs {
		return nil, NoLogsError{folder}
	}
	return faults, nil
}

func scanLog(path string) (faults []string, err error) {
	log, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("open a log: %w", err)
	}
	// The error of closing a file that was only read is ignored.
	defer func() { _ = log.Close() }()
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		if isFault(lines.Text()) {
			faults = append(faults, fmt.Sprintf("%s: %.*s", filepath.Base(path), maxReported, lines.Text()))
		}
	}
	if err := lines.Err(); err != nil {
		return faults, fmt.Errorf("read %s: %w", path, err)
	}
	return faults, nil
}

func isFault(line string) bool {
	for _, mark := range logMarks {
		if strings.Contains(line, mark) {
			return true
		}
	}
	return false
}
