package main

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// functionNames returns the names of the functions in a package of this module, as they appear in profiles.
func functionNames(t *testing.T, importPath string) (names []string) {
	t.Helper()
	dir := filepath.Join("..", "..", strings.TrimPrefix(importPath, "falldeal/"))
	files, err := filepath.Glob(filepath.Join(dir, "*.go"))
	require.NoError(t, err)
	for _, path := range files {
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		require.NoError(t, err)
		for _, declaration := range file.Decls {
			if function, ok := declaration.(*ast.FuncDecl); ok {
				names = append(names, importPath+"."+symbol(function))
			}
		}
	}
	return names
}

// symbol returns the name of a function within its package, including the receiver.
func symbol(function *ast.FuncDecl) string {
	if function.Recv == nil {
		return function.Name.Name
	}
	receiver := function.Recv.List[0].Type
	if pointer, ok := receiver.(*ast.StarExpr); ok {
		return fmt.Sprintf("(*%s).%s", pointer.X, function.Name.Name)
	}
	return fmt.Sprintf("%s.%s", receiver, function.Name.Name)
}

// Guards against a part that gets no CPU time after a rename: each prefix of a name in this module must match a
// function.
func TestPrefixesMatchFunctions(t *testing.T) {
	for _, part := range parts {
		for _, prefix := range part.prefixes {
			if !strings.HasPrefix(prefix, "falldeal/") {
				continue
			}
			base := filepath.Base(prefix)
			name, _, _ := strings.Cut(base, ".")
			importPath := strings.TrimSuffix(prefix, base) + name
			matches := func(function string) bool { return strings.HasPrefix(function, prefix) }
			require.True(t, slices.ContainsFunc(functionNames(t, importPath), matches), prefix)
		}
	}
}
