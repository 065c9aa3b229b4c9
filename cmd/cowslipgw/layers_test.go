package main

import (
	"bufio"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const (
	repositoryRoot = "../.."
	internalPath   = "cowslipgw/internal/"
)

// packageRow matches one line of the package list in docs/design.md.
var packageRow = regexp.MustCompile(`^([a-z]+) {2,}\S`)

// TestImportsGoDownwards guards against imports that violate the layering: a package
// may import only packages that are listed below it in docs/design.md.
func TestImportsGoDownwards(t *testing.T) {
	is := is.New(t)
	layers := designLayers(t)
	is.True(len(layers) > 10)
	internal := filepath.Join(repositoryRoot, "internal")
	err := filepath.WalkDir(internal, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		relative, err := filepath.Rel(internal, path)
		if err != nil {
			return err
		}
		checkImports(t, layers, path, topPackage(filepath.ToSlash(relative)))
		return nil
	})
	is.NoErr(err)
}

// checkImports checks the imports of one file against the order of the layers.
func checkImports(t *testing.T, layers map[string]int, path, from string) {
	t.Helper()
	fromLayer, known := layers[from]
	if !known {
		t.Errorf("%s: package %s is not in the list of docs/design.md", path, from)
		return
	}
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
	if err != nil {
		t.Fatal(err)
	}
	for _, spec := range file.Imports {
		imported, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			t.Fatal(err)
		}
		if !strings.HasPrefix(imported, internalPath) {
			continue
		}
		to := topPackage(strings.TrimPrefix(imported, internalPath))
		if to != from && layers[to] <= fromLayer {
			t.Errorf("%s: %s must not import %s", path, from, to)
		}
	}
}

// designLayers returns the position of each package in the list, counted from the
// top.
func designLayers(t *testing.T) map[string]int {
	t.Helper()
	file, err := os.Open(filepath.Join(repositoryRoot, "docs", "design.md"))
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	layers := make(map[string]int)
	scanner := bufio.NewScanner(file)
	inModules := false
	for scanner.Scan() {
		line := scanner.Text()
		if strings.HasPrefix(line, "## ") {
			inModules = strings.Contains(line, "Modules")
		}
		if match := packageRow.FindStringSubmatch(line); inModules && match != nil {
			layers[match[1]] = len(layers)
		}
	}
	return layers
}

func topPackage(path string) string {
	name, _, _ := strings.Cut(path, "/")
	return name
}
