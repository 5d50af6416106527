// Package examples embeds the declarations of two small example deployments, which
// package demo serves.
package examples

import "embed"

// Files contains one directory of declaration files for each deployment.
//
//go:embed kgotso darbgalds
var Files embed.FS
