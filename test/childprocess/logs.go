package childprocess

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// logMarks are texts that a daemon's log must not hold.
var logMarks = []string{"an invariant is violated", "panic:", "panic serving", "superfluous", "DATA RACE", "fatal error:"}

// LogMarks returns the texts that ScanLogs looks for.
func LogMarks() []string { return append([]string(nil), logMarks...) }

// maxLogLine bounds one line of a log, and maxReported what is quoted of it, in bytes.
const (
	maxLogLine  = 1 << 20
	maxReported = 400
)

// NoLogsError says that a folder holds no log at all.
type NoLogsError struct{ Folder string }

func (err NoLogsError) Error() string { return "there is no log in " + err.Folder }

// ScanLogs looks through all logs of a folder, files whose names end in .log, for what must not be there. It
// returns each such line with the name of its file, and fails if a log can't be read or there is none.
func ScanLogs(folder string) (faults []string, err error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, fmt.Errorf("find the logs: %w", err)
	}
	isThere := false
	for _, entry := range entries {
		if !strings.HasSuffix(entry.Name(), ".log") {
			continue
		}
		isThere = true
		found, err := scanLog(filepath.Join(folder, entry.Name()))
		if err != nil {
			return faults, err
		}
		faults = append(faults, found...)
	}
	if !isThere {
		return nil, NoLogsError{folder}
	}
	return faults, nil
}

func scanLog(path string) (faults []string, err error) {
	log, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("read a log: %w", err)
	}
	// It was opened for reading alone.
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
