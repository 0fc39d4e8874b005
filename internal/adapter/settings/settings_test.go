package settings

import (
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// decodeTestdata decodes a testdata file as entry or control settings, according to its
// name's first letter.
func decodeTestdata(t *testing.T, name string) error {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	if name[0] == 'e' {
		return Decode(name, data, DefaultEntry())
	}
	return Decode(name, data, DefaultControl())
}

// TestBadSettings compares the error for each invalid file with a golden file. An error
// lists all faults of the file, each with line, key and the accepted values.
func TestBadSettings(t *testing.T) {
	g := goldie.New(t, goldie.WithFixtureDir("testdata"))
	for _, name := range []string{"entry-bad.toml", "entry-syntax.toml", "entry-empty.toml", "control-bad.toml"} {
		t.Run(name, func(t *testing.T) {
			err := decodeTestdata(t, name)
			if err == nil {
				t.Fatal("accepted")
			}
			g.Assert(t, name, []byte(err.Error()+"\n"))
		})
	}
}

// TestSampleSettingsAreValid loads the settings of all sample deployments. The files in
// deploy/days are fault scenarios and not settings.
func TestSampleSettingsAreValid(t *testing.T) {
	files, err := filepath.Glob("../../../deploy/*/*-*.toml")
	files = slices.DeleteFunc(files, func(f string) bool { return filepath.Base(filepath.Dir(f)) == "days" })
	if err != nil || len(files) < 24 {
		t.Fatalf("%d files, %v", len(files), err)
	}
	for _, f := range files {
		var err error
		if filepath.Base(f)[0] == 'e' {
			err = Load(f, DefaultEntry())
		} else {
			err = Load(f, DefaultControl())
		}
		if err != nil {
			t.Error(err)
		}
	}
}

func TestNearest(t *testing.T) {
	for _, c := range []struct{ word, want string }{
		{"aply", "apply"}, {"stauts", "status"}, {"frobnicate", ""},
	} {
		if got := Nearest(c.word, []string{"apply", "status", "get"}); got != c.want {
			t.Errorf("%q: %q, want %q", c.word, got, c.want)
		}
	}
}

func FuzzDecode(f *testing.F) {
	files, _ := filepath.Glob("testdata/*.toml")
	for _, name := range files {
		if data, err := os.ReadFile(name); err == nil {
			f.Add(string(data))
		}
	}
	f.Fuzz(func(_ *testing.T, text string) {
		_ = Decode("fuzz", []byte(text), DefaultEntry())
		_ = Decode("fuzz", []byte(text), DefaultControl())
	})
}
