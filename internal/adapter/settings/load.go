// Package settings reads a process's TOML file. Every fault of a file is
// reported at once, with file, line, key and what would be right.
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

// SchemaVersion is the version of the settings files that this build reads.
const SchemaVersion = 1

// Fault is one mistake in a settings file.
type Fault struct {
	Key    string // dotted path
	Reason string
}

// Checked is a settings structure that can check its values.
type Checked interface {
	// Faults returns every bad value.
	Faults() []Fault
}

// Load reads the file into s, which holds the defaults.
func Load(path string, s Checked) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return failure.Wrap(err, failure.InvalidSettings, "")
	}
	return Decode(path, data, s)
}

// Decode reads data into s; name stands for the file in messages.
func Decode(name string, data []byte, s Checked) error {
	md, err := toml.Decode(string(data), s)
	if err != nil {
		var pe toml.ParseError
		if errors.As(err, &pe) {
			return failure.New(failure.InvalidSettings, "", "%s:%d: %s", name, pe.Position.Line, pe.Message)
		}
		return failure.New(failure.InvalidSettings, "", "%s: %s", name, err)
	}
	var found []Fault
	known := knownKeys(s)
	for _, key := range md.Undecoded() {
		k := key.String()
		reason := "unknown key"
		if near := Nearest(k, known); near != "" {
			reason += fmt.Sprintf("; did you mean %q?", near)
		}
		found = append(found, Fault{k, reason})
	}
	found = append(found, s.Faults()...)
	if len(found) == 0 {
		return nil
	}
	sort.SliceStable(found, func(i, j int) bool { return lineOf(data, found[i].Key) < lineOf(data, found[j].Key) })
	lines := make([]string, 0, len(found))
	for _, f := range found {
		lines = append(lines, format(name, data, f))
	}
	return failure.New(failure.InvalidSettings, "", "%s", strings.Join(lines, "\n"))
}

func format(name string, data []byte, f Fault) string {
	if line := lineOf(data, f.Key); line > 0 {
		return fmt.Sprintf("%s:%d: %s: %s", name, line, f.Key, f.Reason)
	}
	return fmt.Sprintf("%s: %s: %s", name, f.Key, f.Reason)
}

// lineOf finds the line of a dotted key; for a missing key the line of its
// table; 0 when neither stands in the file.
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

// Nearest returns the candidate within a small edit distance of word, or "".
func Nearest(word string, candidates []string) string {
	best, bestDistance := "", 4
	for _, c := range candidates {
		if d := distance(word, c); d < bestDistance {
			best, bestDistance = c, d
		}
	}
	return best
}

// distance is the Levenshtein distance.
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
