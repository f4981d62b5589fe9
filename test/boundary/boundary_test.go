// Package boundary checks that what speaks to the users' platform stays in platform/.
package boundary

import (
	"bytes"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

const (
	root = "../.."
	// maxLines bounds platform/ without its tests and its stand-in.
	maxLines = 2500
)

// words are names of the platform's wire that mean nothing to the product.
var words = []string{"X-Arbutusramp", "x-arbutusramp", "/-/", "keyed.op", "keyed.servers", "log-append", "log-read", "log-newest", "log-join", "path_prefix", "gap_target_ms", "fleetbench", "/work/"}

// mayImport are the places that may import platform/: where a process is wired together.
var mayImport = []string{
	"internal/node/gateway.go", "internal/node/gateway_listen.go", "internal/node/gateway_test.go", "internal/node/keys_test.go", "internal/node/quarantine_test.go", "internal/node/detour_test.go", "internal/node/share_test.go", "internal/node/versions_test.go",
	"internal/node/prompt_test.go", "internal/node/skew_test.go", "internal/node/unframed_test.go", "internal/node/endless_test.go", "internal/node/broken_answers_test.go", "internal/node/stop_test.go",
	"internal/dev/gateways.go", "internal/dev/gateways_once.go", // on the stand-in of the wire
}

// goFiles calls visit for each Go file with its path from the root.
func goFiles(t *testing.T, visit func(path string, data []byte)) {
	t.Helper()
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && (d.Name() == ".git" || d.Name() == "target" || d.Name() == "journal") {
			return filepath.SkipDir
		}
		if d.IsDir() || filepath.Ext(path) != ".go" {
			return nil
		}
		data, err := os.ReadFile(path)
		rel, _ := filepath.Rel(root, path)
		visit(filepath.ToSlash(rel), data)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
}

func TestThePlatformsWordsStayInItsFolder(t *testing.T) {
	goFiles(t, func(path string, data []byte) {
		if strings.HasPrefix(path, "platform/") || strings.HasPrefix(path, "test/boundary/") {
			return
		}
		for _, word := range words {
			if bytes.Contains(data, []byte(word)) {
				t.Errorf("%s holds %q", path, word)
			}
		}
	})
}

func TestOnlyTheWiringImportsTheFolder(t *testing.T) {
	allowed := make(map[string]bool)
	for _, path := range mayImport {
		allowed[path] = true
	}
	goFiles(t, func(path string, data []byte) {
		if strings.HasPrefix(path, "platform/") || allowed[path] {
			return
		}
		f, err := parser.ParseFile(token.NewFileSet(), path, data, parser.ImportsOnly)
		if err != nil {
			t.Fatal(err)
		}
		for _, imp := range f.Imports {
			name, _ := strconv.Unquote(imp.Path.Value)
			if strings.HasPrefix(name, "arbutusramp/platform") {
				t.Errorf("%s imports %s", path, name)
			}
		}
	})
}

func TestTheFolderStaysSmall(t *testing.T) {
	lines := 0
	goFiles(t, func(path string, data []byte) {
		if strings.HasPrefix(path, "platform/") && !strings.HasPrefix(path, "platform/wiretest/") && !strings.HasSuffix(path, "_test.go") {
			lines += bytes.Count(data, []byte("\n"))
		}
	})
	if lines == 0 || lines > maxLines {
		t.Errorf("platform/ has %d lines, at most %d are wanted", lines, maxLines)
	}
}
