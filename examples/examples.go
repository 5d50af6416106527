// Package examples holds the declarations of two small operators, which the
// demo serves.
package examples

import "embed"

// Files holds one directory of declaration files for each deployment.
//
//go:embed kgotso darbgalds
var Files embed.FS
