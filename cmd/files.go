package cmd

import (
	"cmp"
	"fmt"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"chervilpath/core/declare"
)

// declarationSuffix is the suffix of declaration files in a directory.
const declarationSuffix = ".ini"

// readDeclarations reads the files at the given paths and, below directories,
// every file with the suffix .ini. A fragment's name is its path relative to the
// given one.
func readDeclarations(paths []string) ([]declare.Fragment, error) {
	var fragments []declare.Fragment
	for _, root := range paths {
		err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
			if err != nil {
				return err
			}
			if d.IsDir() || (path != root && !strings.HasSuffix(path, declarationSuffix)) {
				return nil
			}
			data, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			fragments = append(fragments, declare.Fragment{Name: fragmentName(root, path), Data: data})
			return nil
		})
		if err != nil {
			return nil, fmt.Errorf("collecting declarations: %w", err)
		}
	}
	slices.SortFunc(fragments, func(a, b declare.Fragment) int { return strings.Compare(a.Name, b.Name) })
	for i := 1; i < len(fragments); i++ {
		if fragments[i].Name == fragments[i-1].Name {
			return nil, fmt.Errorf("collecting declarations: two files are named %q below the given paths", fragments[i].Name)
		}
	}
	if len(fragments) == 0 {
		return nil, fmt.Errorf("collecting declarations: there is no file with the suffix %s below %s", declarationSuffix, strings.Join(paths, ", "))
	}
	return fragments, nil
}

// fragmentName returns the path relative to root with slashes, or the base name
// if the path is the root itself.
func fragmentName(root, path string) string {
	name, err := filepath.Rel(root, path)
	if err != nil || name == "." {
		return filepath.Base(path)
	}
	return filepath.ToSlash(name)
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
