// Package settings reads a process's TOML settings file. All faults of a file are
// reported at once, each with file, line, key and the accepted values.
package settings

import (
	"fmt"
	"os"
	"sort"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/juju/errors"

	"github.com/sesamefork/sesamefork/internal/failure"
)

// SchemaVersion is the version of the settings format that this build reads.
const SchemaVersion = 1

// Fault is an unknown key or an invalid value in a settings file.
type Fault struct {
	Key    string // dotted TOML key
	Reason string
}

// Validator is a settings structure that checks its own values.
type Validator interface {
	// Faults returns all invalid values.
	Faults() []Fault
}

// Load reads the settings file at path into s, which holds the defaults.
func Load(path string, s Validator) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return failure.Wrap(err, failure.InvalidSettings, "")
	}
	return Decode(path, data, s)
}

// Decode reads TOML data into s, which holds the defaults. Messages refer to the data by name.
func Decode(name string, data []byte, s Validator) error {
	md, err := toml.Decode(string(data), s)
	if err != nil {
		var pe toml.ParseError
		if errors.As(err, &pe) {
			return failure.New(failure.InvalidSettings, "", "%s:%d: %s", name, pe.Position.Line, pe.Message)
		}
		return failure.New(failure.InvalidSettings, "", "%s: %s", name, err)
	}
	var faults []Fault
	known := knownKeys(s)
	for _, key := range md.Undecoded() {
		k := key.String()
		reason := "unknown key"
		if near := Nearest(k, known); near != "" {
			reason += fmt.Sprintf("; did you mean %q?", near)
		}
		faults = append(faults, Fault{k, reason})
	}
	faults = append(faults, s.Faults()...)
	if len(faults) == 0 {
		return nil
	}
	sort.SliceStable(faults, func(i, j int) bool { return lineOf(data, faults[i].Key) < lineOf(data, faults[j].Key) })
	lines := make([]string, 0, len(faults))
	for _, fault := range faults {
		lines = append(lines, formatFault(name, data, fault))
	}
	return failure.New(failure.InvalidSettings, "", "%s", strings.Join(lines, "\n"))
}

func formatFault(name string, data []byte, f Fault) string {
	if line := lineOf(data, f.Key); line > 0 {
		return fmt.Sprintf("%s:%d: %s: %s", name, line, f.Key, f.Reason)
	}
	return fmt.Sprintf("%s: %s: %s", name, f.Key, f.Reason)
}

// lineOf returns the line number of a dotted key, or of its table if the key is
// missing, or 0 if the file contains neither.
func lineOf(data []byte, key string) int {
	table, tableLine := "", 0
	for i, line := range strings.Split(string(data), "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			table = strings.Trim(strings.SplitN(line, "]", 2)[0], "[] ")
			if table == key {
				return i + 1
			}
			if strings.HasPrefix(key, table+".") {
				tableLine = i + 1
			}
			continue
		}
		name, _, ok := strings.Cut(line, "=")
		if !ok || strings.HasPrefix(line, "#") {
			continue
		}
		full := strings.TrimSpace(name)
		if table != "" {
			full = table + "." + full
		}
		if full == key {
			return i + 1
		}
	}
	return tableLine
}

// Nearest returns the candidate with the smallest edit distance from word, or "" if all
// distances exceed 3.
func Nearest(word string, candidates []string) string {
	best, bestDistance := "", 4
	for _, c := range candidates {
		if d := distance(word, c); d < bestDistance {
			best, bestDistance = c, d
		}
	}
	return best
}

// distance returns the Levenshtein distance of a and b.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		diagonal := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			diagonal, row[j] = row[j], min(row[j]+1, row[j-1]+1, diagonal+cost)
		}
	}
	return row[len(b)]
}
