// Package architecture_test checks the layers: imports point inward only, and internal/core has no
// input, output, locks, goroutines or clock.
package architecture_test

import (
	"encoding/json"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

const module = "github.com/sesamefork/sesamefork/"

// forbiddenInCore are the packages that give access to sockets, files, processes, locks or
// goroutines.
var forbiddenInCore = []string{"net", "os", "io", "io/fs", "syscall", "sync", "sync/atomic", "context", "os/exec", "runtime"}

// allowedModulePaths are the path prefixes of the module's packages on which core may depend.
var allowedModulePaths = []string{"internal/core", "internal/failure", "internal/gen"}

type pkg struct {
	ImportPath string
	Dir        string
	GoFiles    []string
	Imports    []string
	Deps       []string
}

func listPackages(t *testing.T, pattern string) []pkg {
	t.Helper()
	cmd := exec.Command("go", "list", "-deps", "-json=ImportPath,Dir,GoFiles,Imports,Deps", pattern)
	cmd.Dir = "../.."
	out, err := cmd.Output()
	if err != nil {
		t.Fatal(err)
	}
	var pkgs []pkg
	dec := json.NewDecoder(strings.NewReader(string(out)))
	for dec.More() {
		var p pkg
		if err := dec.Decode(&p); err != nil {
			t.Fatal(err)
		}
		if strings.HasPrefix(p.ImportPath, module) {
			pkgs = append(pkgs, p)
		}
	}
	return pkgs
}

func inCore(path string) bool { return strings.HasPrefix(path, module+"internal/core/") }

func TestCoreImportsNoOutside(t *testing.T) {
	checked := 0
	for _, p := range listPackages(t, "./internal/core/...") {
		if !inCore(p.ImportPath) {
			ok := false
			for _, a := range allowedModulePaths {
				ok = ok || strings.HasPrefix(p.ImportPath, module+a)
			}
			if !ok {
				t.Errorf("core depends on %s", p.ImportPath)
			}
			continue
		}
		checked++
		for _, i := range p.Imports {
			for _, f := range forbiddenInCore {
				if i == f {
					t.Errorf("%s imports %s", p.ImportPath, i)
				}
			}
		}
		for _, d := range p.Deps {
			if d == "net" || d == "net/http" || d == "os/exec" {
				t.Errorf("%s depends on %s", p.ImportPath, d)
			}
		}
	}
	if checked < 8 {
		t.Errorf("only %d core packages were checked, want at least 8", checked)
	}
}

// TestCoreReadsNoClockAndStartsNoGoroutine checks the source code of internal/core.
func TestCoreReadsNoClockAndStartsNoGoroutine(t *testing.T) {
	clock := map[string]bool{"Now": true, "Sleep": true, "After": true, "Tick": true, "NewTimer": true, "NewTicker": true, "AfterFunc": true, "Since": true, "Until": true}
	for _, p := range listPackages(t, "./internal/core/...") {
		if !inCore(p.ImportPath) {
			continue
		}
		for _, name := range p.GoFiles {
			set := token.NewFileSet()
			file, err := parser.ParseFile(set, filepath.Join(p.Dir, name), nil, 0)
			if err != nil {
				t.Fatal(err)
			}
			ast.Inspect(file, func(n ast.Node) bool {
				switch n := n.(type) {
				case *ast.GoStmt:
					t.Errorf("%s: starts a goroutine", set.Position(n.Pos()))
				case *ast.SelectorExpr:
					if x, ok := n.X.(*ast.Ident); ok && x.Name == "time" && clock[n.Sel.Name] {
						t.Errorf("%s: reads the clock with time.%s", set.Position(n.Pos()), n.Sel.Name)
					}
				}
				return true
			})
		}
	}
}

// TestLayersPointInward checks that no inner layer imports an outer one. Use cases access links,
// metrics and spans through the interfaces of internal/port; docs/design/layers.md gives the
// reasons.
func TestLayersPointInward(t *testing.T) {
	outer := map[string][]string{
		"internal/core/": {"internal/adapter/", "internal/app/", "internal/port"},
		"internal/port":  {"internal/adapter/", "internal/app/", "internal/core/"},
		"internal/app/":  {"internal/adapter/"},
	}
	for _, p := range listPackages(t, "./cmd/...") {
		rel := strings.TrimPrefix(p.ImportPath, module)
		for inner, forbidden := range outer {
			if !strings.HasPrefix(rel, inner) {
				continue
			}
			for _, i := range p.Imports {
				for _, f := range forbidden {
					if strings.HasPrefix(strings.TrimPrefix(i, module), f) {
						t.Errorf("%s imports %s", rel, strings.TrimPrefix(i, module))
					}
				}
			}
		}
	}
}

// platformNames are names of the users' platform. Only the platform package may contain them.
var platformNames = []string{
	"X-Request-Id", "X-Deadline-Ms", "X-Server-Stamp", "X-Prompt-Prefix", "X-Token-Count", "X-Expect-Instance",
	"X-Not-Run", "X-Cold-Ms", "Kv-From", "/v1/instances", "/v1/resolve", "/v1/readyz", "heartbeat_addr", "Server-Limit",
}

// TestPlatformNamesStayInTheAdapter checks the source code of all other packages.
func TestPlatformNamesStayInTheAdapter(t *testing.T) {
	for _, p := range listPackages(t, "./...") {
		rel := strings.TrimPrefix(p.ImportPath, module)
		if rel == "platform" {
			continue
		}
		for _, name := range p.GoFiles {
			data, err := os.ReadFile(filepath.Join(p.Dir, name))
			if err != nil {
				t.Fatal(err)
			}
			for _, n := range platformNames {
				if strings.Contains(string(data), n) {
					t.Errorf("%s/%s contains %q", rel, name, n)
				}
			}
		}
	}
}

// TestPlatformIsOutermost checks that only the programs in cmd import the platform package.
func TestPlatformIsOutermost(t *testing.T) {
	for _, p := range listPackages(t, "./...") {
		rel := strings.TrimPrefix(p.ImportPath, module)
		for _, i := range p.Imports {
			if i == module+"platform" && !strings.HasPrefix(rel, "cmd/") {
				t.Errorf("%s imports the platform package", rel)
			}
		}
	}
}
